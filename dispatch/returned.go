package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// freedSlotMinRuns is the time before the deadline, in times that nine of ten runs
// need, at which a request that was shed stops waiting for a returned slot.
const freedSlotMinRuns = 4

// freedSlot is the target of the attempt that has just ended. What its answer
// reported is the only load that is known without delay. It is valid in one event.
type freedSlot struct {
	known bool
	index int
	// noQueue says that no request waits at the target. Otherwise its queue is at
	// most half as long as the queue of a target that shed.
	noQueue bool
}

// noteFreedSlot remembers the target of an attempt that has ended.
func (s *Scheduler) noteFreedSlot(a *attempt) {
	if a.hasRoom {
		s.freed = freedSlot{known: true, index: a.index, noQueue: a.noQueue}
	}
}

// takeFreedSlot chooses the returned target, once.
func (s *Scheduler) takeFreedSlot(now time.Duration, n balancer.PickOptions) (balancer.Choice, bool) {
	if !s.freed.known {
		return balancer.Choice{}, false
	}
	choice, ok := s.balancer.PickFreedSlot(now, s.freed.index, n)
	if ok {
		s.freed.known = false
	}
	return choice, ok
}

// pickFirst chooses a target for a first send. High priority work takes an
// empty returned slot: it cannot be shed there unless another instance sends
// to the same slot within the network delay.
func (s *Scheduler) pickFirst(now time.Duration, r *request) (balancer.Choice, bool) {
	need := balancer.PickOptions{Class: r.Class}
	if r.item.Rank == 0 && s.freed.noQueue {
		if choice, ok := s.takeFreedSlot(now, need); ok {
			return choice, true
		}
	}
	return s.balancer.Pick(now, need)
}

// waitsForFreedSlot reports whether a high priority request that was shed
// waits for a returned slot. Without overload it is sent at once, and so it
// is when no answer is under way or its deadline comes near.
func (s *Scheduler) waitsForFreedSlot(now time.Duration, r *request) bool {
	return r.item.Rank == 0 && r.notRun == r.sent && s.overloaded() && s.admission.Window.InFlight() > 0 &&
		now+freedSlotMinRuns*s.admission.Slow(now, r.item.Lane) < r.Deadline
}

// overloaded reports whether a whole window of requests waits. A retry would
// then take the slot of one of them. A shorter queue arises by chance.
func (s *Scheduler) overloaded() bool {
	return float64(s.admission.Queue.Len()) >= s.admission.Window.Limit()
}
