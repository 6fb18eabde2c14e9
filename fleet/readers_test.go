package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestRoster returns the roster of one of n instances in two failure domains
// that have just heard of each other.
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

// Guards against a store that all instances read, or none.
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
	is.Equal(stepIn, wantedReaders+1) // one at a time after a silence
}

// Guards against a whole fleet that calls a store that is down: that would use
// up the rate that all share once it is back.
func TestOnlyTheFirstTryAStoreThatFailed(t *testing.T) {
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

// Guards against readers that the store turns away while it serves others.
func TestInstancesThatTheStoreAnswersReadFirst(t *testing.T) {
	is := is.New(t)
	const n = 20
	for self := range n {
		r := newTestRoster(self, n)
		for _, p := range r.peers {
			p.State |= StoreFailed
		}
		is.True(r.shouldRead(0, 0)) // the only one that the store answers
	}
}
