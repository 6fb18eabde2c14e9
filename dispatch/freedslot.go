package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// freedSlotMinRuns is how long before its deadline a shed request stops waiting
// for a freed slot, in multiples of the p90 service time.
const freedSlotMinRuns = 4

// freedSlot is the slot that an attempt has just freed at its target. The load
// that its response reported is the only load that is known without delay. It is
// valid only during the event that ended the attempt.
type freedSlot struct {
	known bool
	index int
	// noQueue is true if no request waits at the target. Otherwise its queue is
	// at most half as long as that of the last target that shed.
	noQueue bool
}

// noteFreedSlot remembers the slot of an attempt that has ended, if its target
// has room.
func (s *Scheduler) noteFreedSlot(a *attempt) {
	if a.hasRoom {
		s.freed = freedSlot{known: true, index: a.index, noQueue: a.noQueue}
	}
}

// takeFreedSlot picks the target with the freed slot. A slot is taken at most
// once. It returns false if there is none or its target may not be used.
func (s *Scheduler) takeFreedSlot(now time.Duration, options balancer.PickOptions) (balancer.Choice, bool) {
	if !s.freed.known {
		return balancer.Choice{}, false
	}
	choice, ok := s.balancer.PickFreedSlot(now, s.freed.index, options)
	if ok {
		s.freed.known = false
	}
	return choice, ok
}

// pickFirst picks a target for a first attempt. High priority requests prefer a
// freed slot without a queue: they cannot be shed there unless another instance
// sends to the same slot within the network delay.
func (s *Scheduler) pickFirst(now time.Duration, r *request) (balancer.Choice, bool) {
	options := balancer.PickOptions{Class: r.Class}
	if r.item.Rank == 0 && s.freed.noQueue {
		if choice, ok := s.takeFreedSlot(now, options); ok {
			return choice, true
		}
	}
	return s.balancer.Pick(now, options)
}

// waitsForFreedSlot reports whether the retry of a high priority request waits
// for a freed slot. It does not wait if an attempt may have run, without
// overload, without attempts in flight, or close to the deadline.
func (s *Scheduler) waitsForFreedSlot(now time.Duration, r *request) bool {
	return r.item.Rank == 0 && r.notRun == r.sent && s.overloaded() && s.admission.Window.InFlight() > 0 &&
		now+freedSlotMinRuns*s.admission.P90ServiceTime(now, r.item.Lane) < r.Deadline
}

// overloaded reports whether at least one window of requests waits, so that a
// retry would take the slot of one of them. Shorter queues also occur by chance
// without overload.
func (s *Scheduler) overloaded() bool {
	return float64(s.admission.Queue.Len()) >= s.admission.Window.Limit()
}
