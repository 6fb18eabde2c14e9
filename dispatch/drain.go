package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// lanes marks the classes that cannot be sent now.
type lanes = [admission.Lanes]bool

// drain sends what may be sent now: requests that wait to be sent again first,
// because they have waited longest.
func (s *Scheduler) drain(now time.Duration) {
	s.drainRetries(now)
	var blocked lanes
	capacity := s.admission.HasCapacity(now)
	for {
		s.blockLong(&blocked)
		item := s.admission.Queue.Next(blocked, capacity)
		if item == nil || !s.sendFirst(now, s.requests[RequestID(item.ID)], &blocked) {
			break
		}
	}
	s.admission.Window.EndEvent()
}

// sendFirst sends or refuses the request whose turn it is. It reports false
// when the window is full.
func (s *Scheduler) sendFirst(now time.Duration, r *request, blocked *lanes) bool {
	if s.admission.CannotMeetDeadline(now, &r.item) {
		s.refuse(now, r, refusal.Deadline, reasonLate)
		return true
	}
	if !s.admission.Window.HasRoom() && !s.mayExceed(r) {
		s.admission.Window.MarkLimited()
		return false
	}
	choice, ok := s.pickFirst(now, r)
	switch {
	case ok:
		s.admission.Queue.Take(&r.item)
		s.budget.Request(now)
		s.send(now, r, choice)
	case s.balancer.Serving() == 0:
		s.refuse(now, r, refusal.NoTarget, reasonNoTarget)
	default:
		blocked[r.item.Lane] = true
	}
	return true
}

// highFactor enlarges the window while high priority requests pile up. Callers
// spread unevenly, so that the share of one instance may be too small for its
// high priority work alone while others serve normal work. The queues that this
// leaves at targets make the others shrink.
const highFactor = 1.5

// highPressure is the number of windows of waiting high priority requests that
// counts as piling up. With 1, targets with queues of 2 shed more of them.
const highPressure = 3.0

// mayExceed reports whether a high priority request may be sent beyond the
// window: several windows of them wait.
func (s *Scheduler) mayExceed(r *request) bool {
	return r.item.Rank == 0 && float64(s.admission.Queue.LenOf(0)) >= highPressure*s.admission.Window.Limit() &&
		s.admission.Window.HasRoomScaled(highFactor)
}

// drainRetries sends requests again while budget and window last.
func (s *Scheduler) drainRetries(now time.Duration) {
	for s.budget.Available() {
		var blocked lanes
		s.blockLong(&blocked)
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
		if s.waitsForReturned(now, r) {
			s.resendToReturned(now, r)
			return
		}
		choice, ok := s.balancer.Pick(now, s.another(r))
		if !ok {
			s.refuse(now, r, refusal.NoTarget, "no other target can take the request")
			continue
		}
		s.retries.Take(item)
		s.sendAgain(now, r, choice)
	}
}

// resendToReturned sends a request again to the returned target, if any.
func (s *Scheduler) resendToReturned(now time.Duration, r *request) {
	if choice, ok := s.takeReturned(now, s.another(r)); ok {
		s.retries.Take(&r.item)
		s.sendAgain(now, r, choice)
	}
}

// blockLong marks the long lane when this instance's long slots are in use.
func (s *Scheduler) blockLong(blocked *lanes) {
	if s.long >= s.longShare {
		blocked[admission.LaneLong] = true
	}
}
