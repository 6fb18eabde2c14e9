package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// lateRuns is the time before the deadline, in times that nine of ten runs
// need, at which a request that was shed stops waiting for a returned slot.
const lateRuns = 4

// returned is the target of the attempt that has just ended. What its answer
// reported is the only load that is known without delay. It is valid in one event.
type returned struct {
	known bool
	index int
	// empty says that no request waits at the target. Otherwise its queue is at
	// most half as long as the queue of a target that shed.
	empty bool
}

// noteReturned remembers the target of an attempt that has ended.
func (s *Scheduler) noteReturned(a *attempt) {
	if a.hasRoom {
		s.returned = returned{known: true, index: a.index, empty: a.free}
	}
}

// takeReturned chooses the returned target, once.
func (s *Scheduler) takeReturned(now time.Duration, n balancer.PickOptions) (balancer.Choice, bool) {
	if !s.returned.known {
		return balancer.Choice{}, false
	}
	choice, ok := s.balancer.PickFreedSlot(now, s.returned.index, n)
	if ok {
		s.returned.known = false
	}
	return choice, ok
}

// pickFirst chooses a target for a first send. High priority work takes an
// empty returned slot: it cannot be shed there unless another instance sends
// to the same slot within the network delay.
func (s *Scheduler) pickFirst(now time.Duration, r *request) (balancer.Choice, bool) {
	need := balancer.PickOptions{Class: r.Class}
	if r.item.Rank == 0 && s.returned.empty {
		if choice, ok := s.takeReturned(now, need); ok {
			return choice, true
		}
	}
	return s.balancer.Pick(now, need)
}

// waitsForReturned reports whether a high priority request that was shed
// waits for a returned slot. Without overload it is sent at once, and so it
// is when no answer is under way or its deadline comes near.
func (s *Scheduler) waitsForReturned(now time.Duration, r *request) bool {
	return r.item.Rank == 0 && r.notRun == r.sent && s.overloaded() && s.admission.Window.InFlight() > 0 &&
		now+lateRuns*s.admission.P90ServiceTime(now, r.item.Lane) < r.Deadline
}

// overloaded reports whether a whole window of requests waits. A retry would
// then take the slot of one of them. A shorter queue arises by chance.
func (s *Scheduler) overloaded() bool {
	return float64(s.admission.Queue.Len()) >= s.admission.Window.Limit()
}
