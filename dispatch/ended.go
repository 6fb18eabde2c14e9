package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Ended handles the end of an attempt.
func (s *Scheduler) Ended(now time.Duration, id AttemptID, e End) []Action {
	s.beginEvent(now)
	a := s.attempts[id]
	if a == nil {
		return s.actions
	}
	delete(s.attempts, id)
	outcome := e.Outcome
	if a.responded && a.outcome != balancer.OutcomeOK {
		outcome = a.outcome // the outcome of the response counts, not how reading it ended
	}
	s.balancer.Ended(now, a.index, a.request.Class, outcome)
	if outcome == balancer.OutcomeOK && a.responded {
		s.admission.Finished(now, a.request.item.Lane, now-a.sentAt)
	}
	s.release(a, a.noQueue && outcome == balancer.OutcomeOK)
	if outcome == balancer.OutcomeOK {
		s.noteFreedSlot(a)
	}
	if !a.settled {
		s.settle(a)
		s.handleNoResponse(now, a, outcome)
	}
	s.sendQueued(now)
	return s.actions
}

// handleNoResponse retries or refuses the request of an attempt that ended
// without a response.
func (s *Scheduler) handleNoResponse(now time.Duration, a *attempt, outcome balancer.Outcome) {
	switch outcome {
	case balancer.OutcomeShed:
		s.noteShed(now, a)
		a.request.notRun++
	case balancer.OutcomeNotSent:
		a.request.notRun++
	default:
		outcome = balancer.OutcomeBroken
	}
	s.retryOrRefuse(now, a.request, outcome)
}

// retryOrRefuse queues a request for a retry after a failed attempt, or refuses
// it. It does nothing while another attempt of the request is in flight.
func (s *Scheduler) retryOrRefuse(now time.Duration, r *request, outcome balancer.Outcome) {
	if r.openAttempts > 0 || s.queueRetry(now, r, outcome != balancer.OutcomeBroken) {
		return
	}
	switch outcome {
	case balancer.OutcomeShed:
		s.refuse(now, r, refusal.Overload, "the target had no room for the request")
	case balancer.OutcomeNotSent:
		s.refuse(now, r, refusal.NoTarget, "the target could not be reached")
	default:
		s.refuse(now, r, refusal.AttemptFailed, "the target's connection ended before its answer")
	}
}

// queueRetry queues a request for a retry. It returns false if the request may
// not be retried, if no other target is serving, if the retry would come too late
// for the deadline, or if the queue is full of requests that are as urgent. Under
// overload only high priority requests are retried, because any other retry would
// take the slot of a waiting request.
func (s *Scheduler) queueRetry(now time.Duration, r *request, notRun bool) bool {
	if s.stale || !r.retryState(now).MayRetry(notRun) || s.balancer.Serving() <= 1 {
		return false
	}
	if r.item.Rank > 0 && s.overloaded() {
		return false
	}
	if now+s.retryBudget.Wait(s.retriesAhead(r)) >= r.Deadline || s.admission.CannotMeetDeadline(now, &r.item) {
		return false
	}
	r.retryQueuedAt = now
	evicted := s.retries.Push(&r.item)
	if evicted == &r.item {
		return false
	}
	if evicted != nil {
		s.refuse(now, s.requests[RequestID(evicted.ID)], refusal.Overload, "too many requests wait to be sent again")
	}
	return true
}

// retriesAhead returns the number of waiting retries that are sent before r.
func (s *Scheduler) retriesAhead(r *request) int {
	n := 0
	for rank := range r.item.Rank + 1 {
		n += s.retries.LenOf(rank)
	}
	return n
}
