package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Ended takes the end of an attempt.
func (s *Scheduler) Ended(now time.Duration, id AttemptID, e End) []Action {
	s.begin(now)
	a := s.attempts[id]
	if a == nil {
		return s.actions
	}
	delete(s.attempts, id)
	outcome := e.Outcome
	if a.answered && a.outcome != balancer.OutcomeOK {
		outcome = a.outcome // the handler reports that it dropped the answer
	}
	s.balancer.Ended(now, a.index, a.request.Class, outcome)
	if outcome == balancer.OutcomeOK && a.answered {
		s.admission.Finished(now, a.request.item.Lane, now-a.sent)
	}
	s.release(a, a.free && outcome == balancer.OutcomeOK)
	if outcome == balancer.OutcomeOK {
		s.noteReturned(a)
	}
	if !a.settled {
		s.settle(a)
		s.lost(now, a, outcome)
	}
	s.drain(now)
	return s.actions
}

// lost handles an attempt that ended without an answer.
func (s *Scheduler) lost(now time.Duration, a *attempt, outcome balancer.Outcome) {
	switch outcome {
	case balancer.OutcomeShed:
		s.shed(now, a)
		a.request.notRun++
	case balancer.OutcomeNotSent:
		a.request.notRun++
	default:
		outcome = balancer.OutcomeBroken
	}
	s.failed(now, a.request, outcome)
}

// failed sends a request again after a failed attempt, or refuses it. While
// another attempt is in flight, that one decides.
func (s *Scheduler) failed(now time.Duration, r *request, outcome balancer.Outcome) {
	if r.live > 0 || s.resend(now, r, outcome != balancer.OutcomeBroken) {
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

// resend puts a request in line to be sent again. It reports false when the
// rules forbid it or its turn would come too late. Under overload the budget
// is kept for high priority: any other request would only take the place of
// one that waits.
func (s *Scheduler) resend(now time.Duration, r *request, notRun bool) bool {
	if s.stale || !r.facts(now).MayResend(notRun) || s.balancer.Serving() <= 1 {
		return false
	}
	if r.item.Rank > 0 && s.overloaded() {
		return false
	}
	if now+s.budget.Wait(s.retriesAhead(r)) >= r.Deadline || s.admission.CannotMeetDeadline(now, &r.item) {
		return false
	}
	r.retryFrom = now
	evicted := s.retries.Push(&r.item)
	if evicted == &r.item {
		return false
	}
	if evicted != nil {
		s.refuse(now, s.requests[RequestID(evicted.ID)], refusal.Overload, "too many requests wait to be sent again")
	}
	return true
}

// retriesAhead returns the number of requests that are sent again before r.
func (s *Scheduler) retriesAhead(r *request) int {
	n := 0
	for rank := range r.item.Rank + 1 {
		n += s.retries.LenOf(rank)
	}
	return n
}
