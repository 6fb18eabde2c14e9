package fleet

import (
	"net/netip"
	"slices"
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
		if r.shouldRead(0, 0, true) {
			readers++
		}
		if r.shouldRead(0, r.readerTimeout()+takeoverStep*5/2, true) {
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
		if r.shouldRead(0, time.Hour, false) {
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
		is.True(r.shouldRead(0, 0, true)) // this instance is the only one that the store answers
	}
}

// Guards against calls to a store that is down that grow with the fleet, and against gaps
// between them in which the store may be back without being noticed.
func TestCallsToAStoreThatIsDownAreSpread(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{5, 20, 200} {
		const begin, end = 300 * time.Second, 400 * time.Second
		var calls []time.Duration
		for self := range n {
			r := newTestRoster(self, n)
			r.self.State |= StoreFailed
			for at := time.Duration(0); at < end; at += r.outageCallDelay() {
				if at >= begin && r.shouldRead(0, time.Hour, true) {
					calls = append(calls, at)
				}
			}
		}
		perSecond := float64(len(calls)) / (end - begin).Seconds()
		is.True(perSecond > outageCallsPerSecond/2 && perSecond < 1.5*outageCallsPerSecond)
		slices.Sort(calls)
		for i := range calls[1:] {
			is.True(calls[i+1]-calls[i] < 2500*time.Millisecond)
		}
	}
}
