package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// laneSet marks the lanes from which nothing can be sent now.
type laneSet = [admission.Lanes]bool

// sendQueued sends the queued requests that may be sent now. Retries go first,
// because their requests have waited longest.
func (s *Scheduler) sendQueued(now time.Duration) {
	s.sendRetries(now)
	var blocked laneSet
	capacity := s.admission.HasCapacity(now)
	for {
		s.blockLongLane(&blocked)
		item := s.admission.Queue.Next(blocked, capacity)
		if item == nil || !s.sendFirst(now, s.requests[RequestID(item.ID)], &blocked) {
			break
		}
	}
	s.admission.Window.EndEvent()
}

// sendFirst sends the first attempt of the next queued request, refuses the
// request, or marks its lane as blocked if no target can take it now. It returns
// false if the window is full.
func (s *Scheduler) sendFirst(now time.Duration, r *request, blocked *laneSet) bool {
	if s.admission.CannotMeetDeadline(now, &r.item) {
		s.refuse(now, r, refusal.Deadline, reasonLate)
		return true
	}
	if !s.admission.Window.HasRoom() && !s.mayExceedWindow(r) {
		s.admission.Window.MarkLimited()
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

// highPriorityWindowFactor enlarges the window for high priority requests while
// a backlog of them waits. Callers are spread unevenly over the instances, so
// the window of one instance may be too small for its high priority requests
// while other instances still serve normal ones. The queues that the extra
// requests cause at the targets make the other instances shrink their windows.
const highPriorityWindowFactor = 1.5

// highPriorityBacklog is the number of waiting high priority requests that count
// as a backlog, in multiples of the window. A value of 1 makes targets with a
// queue of 2 shed more high priority requests.
const highPriorityBacklog = 3.0

// mayExceedWindow reports whether the request may be sent although the window is
// full. This holds for high priority requests while a backlog of them waits and
// the enlarged window has room.
func (s *Scheduler) mayExceedWindow(r *request) bool {
	return r.item.Rank == 0 && float64(s.admission.Queue.LenOf(0)) >= highPriorityBacklog*s.admission.Window.Limit() &&
		s.admission.Window.HasRoomScaled(highPriorityWindowFactor)
}

// sendRetries sends waiting retries while the retry budget and the window allow
// it. Requests that can no longer succeed are refused.
func (s *Scheduler) sendRetries(now time.Duration) {
	for s.retryBudget.Available() {
		var blocked laneSet
		s.blockLongLane(&blocked)
		item := s.retries.Next(blocked, false)
		if item == nil {
			return
		}
		r := s.requests[RequestID(item.ID)]
		if s.admission.CannotMeetDeadline(now, item) {
			s.refuse(now, r, refusal.Deadline, reasonLate)
			continue
		}
		if !s.admission.Window.HasRoom() {
			s.admission.Window.MarkLimited()
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

// retryAtFreedSlot retries a request at the target with the freed slot, if any.
func (s *Scheduler) retryAtFreedSlot(now time.Duration, r *request) {
	if choice, ok := s.takeFreedSlot(now, s.retryPickOptions(r)); ok {
		s.retries.Take(&r.item)
		s.sendRetry(now, r, choice)
	}
}

// blockLongLane marks the long lane as blocked if this instance has as many long
// attempts in flight as it may have.
func (s *Scheduler) blockLongLane(blocked *laneSet) {
	if s.longInFlight >= s.longShare {
		blocked[admission.LaneLong] = true
	}
}
