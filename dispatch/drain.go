package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// laneSet marks the classes that cannot be sent now.
type laneSet = [admission.Lanes]bool

// sendQueued sends what may be sent now: requests that wait to be sent again first,
// because they have waited longest.
func (s *Scheduler) sendQueued(now time.Duration) {
	s.sendRetries(now)
	var blocked laneSet
	capacity := s.admission.Capacity(now)
	for {
		s.blockLongLane(&blocked)
		item := s.admission.Queue.Next(blocked, capacity)
		if item == nil || !s.sendFirst(now, s.requests[RequestID(item.ID)], &blocked) {
			break
		}
	}
	s.admission.Window.EndEvent()
}

// sendFirst sends or refuses the request whose turn it is. It reports false
// when the window is full.
func (s *Scheduler) sendFirst(now time.Duration, r *request, blocked *laneSet) bool {
	if s.admission.Hopeless(now, &r.item) {
		s.refuse(now, r, refusal.Deadline, reasonLate)
		return true
	}
	if !s.admission.Window.Room() && !s.mayExceedWindow(r) {
		s.admission.Window.Limited()
		return false
	}
	choice, ok := s.pickFirst(now, r)
	switch {
	case ok:
		s.admission.Queue.Take(&r.item)
		s.retryBudget.Request(now)
		s.send(now, r, choice)
	case s.balancer.Serving() == 0:
		s.refuse(now, r, refusal.NoTarget, reasonNoTarget)
	default:
		blocked[r.item.Lane] = true
	}
	return true
}

// highPriorityWindowFactor enlarges the window while high priority requests pile up. Callers
// spread unevenly, so that the share of one instance may be too small for its
// high priority work alone while others serve normal work. The queues that this
// leaves at targets make the others shrink.
const highPriorityWindowFactor = 1.5

// highPriorityBacklog is the number of windows of waiting high priority requests that
// counts as piling up. With 1, targets with queues of 2 shed more of them.
const highPriorityBacklog = 3.0

// mayExceedWindow reports whether a high priority request may be sent beyond the
// window: several windows of them wait.
func (s *Scheduler) mayExceedWindow(r *request) bool {
	return r.item.Rank == 0 && float64(s.admission.Queue.LenOf(0)) >= highPriorityBacklog*s.admission.Window.Limit() &&
		s.admission.Window.RoomBeyond(highPriorityWindowFactor)
}

// sendRetries sends requests again while budget and window last.
func (s *Scheduler) sendRetries(now time.Duration) {
	for s.retryBudget.Available() {
		var blocked laneSet
		s.blockLongLane(&blocked)
		item := s.retries.Next(blocked, false)
		if item == nil {
			return
		}
		r := s.requests[RequestID(item.ID)]
		if s.admission.Hopeless(now, item) {
			s.refuse(now, r, refusal.Deadline, reasonLate)
			continue
		}
		if !s.admission.Window.Room() {
			s.admission.Window.Limited()
			return
		}
		if s.waitsForFreedSlot(now, r) {
			s.retryAtFreedSlot(now, r)
			return
		}
		choice, ok := s.balancer.Pick(now, s.retryPickOptions(r))
		if !ok {
			s.refuse(now, r, refusal.NoTarget, "no other target can take the request")
			continue
		}
		s.retries.Take(item)
		s.sendRetry(now, r, choice)
	}
}

// retryAtFreedSlot sends a request again to the returned target, if any.
func (s *Scheduler) retryAtFreedSlot(now time.Duration, r *request) {
	if choice, ok := s.takeFreedSlot(now, s.retryPickOptions(r)); ok {
		s.retries.Take(&r.item)
		s.sendRetry(now, r, choice)
	}
}

// blockLongLane marks the long lane when this instance's long slots are in use.
func (s *Scheduler) blockLongLane(blocked *laneSet) {
	if s.longInFlight >= s.longShare {
		blocked[admission.LaneLong] = true
	}
}
