package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestRoster returns the roster of one of n instances in two failure domains that
// have all just exchanged state.
func newTestRoster(self, n int) *roster {
	member := func(i int) Member {
		return Member{IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), Incarnation: 1, Heartbeat: 1, Domain: i % 2, State: Ready}
	}
	r := newRoster(member(self))
	for i := range n {
		r.merge(0, member(i), true)
	}
	return r
}

// Guards against all instances reading the store, or none.
func TestFewInstancesReadTheStore(t *testing.T) {
	is := is.New(t)
	const n = 20
	readers, stepIn := 0, 0
	for self := range n {
		r := newTestRoster(self, n)
		if r.shouldRead(0, 0) {
			readers++
		}
		if r.shouldRead(0, r.readerTimeout()+takeoverStep*5/2) {
			stepIn++
		}
	}
	is.Equal(readers, wantedReaders)
	is.Equal(stepIn, wantedReaders+1) // one at a time when no reader's heartbeat arrives
}

// Guards against the whole fleet calling a store that is down: the calls would use up
// the shared rate limit once the store is back.
func TestFewInstancesCallAStoreThatIsDown(t *testing.T) {
	is := is.New(t)
	const n = 20
	trying := 0
	for self := range n {
		r := newTestRoster(self, n)
		r.self.State |= StoreFailed
		for _, p := range r.peers {
			p.State |= StoreFailed
		}
		if r.shouldRead(0, time.Hour) {
			trying++
		}
	}
	is.Equal(trying, wantedReaders)
}

// Guards against instances that remain readers although the store refuses them while it
// serves others.
func TestInstancesThatTheStoreAnswersReadFirst(t *testing.T) {
	is := is.New(t)
	const n = 20
	for self := range n {
		r := newTestRoster(self, n)
		for _, p := range r.peers {
			p.State |= StoreFailed
		}
		is.True(r.shouldRead(0, 0)) // this instance is the only one that the store answers
	}
}
