package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Arrive handles a new request. A request whose ID is in use is ignored.
func (s *Scheduler) Arrive(now time.Duration, r Request) []Action {
	s.beginEvent(now)
	if s.requests[r.ID] != nil {
		return s.actions
	}
	s.counters.Arrivals++
	s.balancer.Arrived(now)
	state := newRequest(r)
	s.requests[r.ID] = state
	state.open.Value = state
	s.openRequests.Push(&state.open)
	if s.stale {
		s.refuse(now, state, refusal.StaleView, reasonStale)
	} else {
		s.admit(now, state)
		s.sendQueued(now)
	}
	s.probe(now)
	return s.actions
}

// admit queues a new request or refuses it immediately.
func (s *Scheduler) admit(now time.Duration, r *request) {
	if r.item.Lane == admission.LaneLong && s.longShare <= 0 {
		s.refuse(now, r, refusal.Overload, "this instance holds no slot for long requests")
		return
	}
	if s.noServingTarget && s.balancer.Serving() == 0 {
		s.refuse(now, r, refusal.NoTarget, reasonNoTarget)
		return
	}
	verdict, evicted := s.admission.Offer(now, &r.item, s.longShare)
	switch verdict {
	case admission.Evicted:
		s.refuse(now, s.requests[RequestID(evicted.ID)], refusal.Overload, "a request of higher priority took its place in the queue")
	case admission.Overloaded:
		s.refuse(now, r, refusal.Overload, "the expected wait exceeds the deadline or the queue is full")
	case admission.DeadlineUnreachable:
		s.refuse(now, r, refusal.Deadline, reasonLate)
	}
}

// Cancel drops a request whose caller disconnected. Its attempts are cancelled,
// and Ended must still be called for each of them.
func (s *Scheduler) Cancel(now time.Duration, id RequestID) []Action {
	s.beginEvent(now)
	if r := s.requests[id]; r != nil {
		s.counters.Canceled++
		s.closeRequest(now, r)
		s.sendQueued(now)
	}
	return s.actions
}
