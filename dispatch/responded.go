package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Responded handles the response head of an attempt.
func (s *Scheduler) Responded(now time.Duration, id AttemptID, response Response) []Action {
	s.beginEvent(now)
	a := s.attempts[id]
	if a == nil || a.responded {
		return s.actions
	}
	a.responded, a.outcome = true, response.Outcome
	s.recordResponse(now, a, response)
	if !a.settled {
		s.settle(a)
		s.handleResponse(now, a)
	}
	s.sendQueued(now)
	return s.actions
}

// recordResponse updates the balancer, the admission window and the straggler
// threshold from a response.
func (s *Scheduler) recordResponse(now time.Duration, a *attempt, response Response) {
	s.balancer.Responded(now, a.index, now-a.sentAt, response.Outcome, response.Report)
	load := response.Report.Load
	if response.Outcome == balancer.OutcomeShed {
		s.shedQueueLen = load.Queued
		s.noteShed(now, a)
		return
	}
	a.noQueue = response.Report.HasLoad && load.Queued == 0
	a.hasRoom = response.Report.HasLoad && load.Queued <= s.shedQueueLen/2
	s.admission.Window.Report(now, a.sentAt, queuePerSlot(response.Report))
	if response.Outcome == balancer.OutcomeOK {
		s.stragglers[a.request.item.Lane].Add(now - a.sentAt)
	}
}

// queuePerSlot returns the number of requests queued at the target per slot, or
// 0 if the report has no load.
func queuePerSlot(r balancer.Report) float64 {
	if !r.HasLoad {
		return 0
	}
	return float64(r.Load.Queued) / float64(max(1, r.Load.Slots))
}

// noteShed records that a target rejected an attempt without running it.
func (s *Scheduler) noteShed(now time.Duration, a *attempt) {
	s.counters.Shed++
	s.admission.RecordShortage(now)
	s.admission.Window.Shed(now, a.sentAt)
}

// handleResponse accepts the response of an attempt or discards it and retries or
// refuses the request.
func (s *Scheduler) handleResponse(now time.Duration, a *attempt) {
	switch a.outcome {
	case balancer.OutcomeOK:
		s.accept(now, a)
	case balancer.OutcomeShed:
		a.request.notRun++
		s.discard(a)
		s.retryOrRefuse(now, a.request, balancer.OutcomeShed)
	default:
		s.handleError(now, a)
	}
}

// handleError forwards a target's error response to the caller, unless another
// attempt is in flight or a retry at another target can be sent immediately.
// The response is not discarded for a retry that would have to wait. The retry
// uses the window slot of the failed attempt, so the number of attempts in
// flight does not grow.
func (s *Scheduler) handleError(now time.Duration, a *attempt) {
	r := a.request
	if r.openAttempts > 0 {
		s.discard(a)
		return
	}
	if !s.stale && r.retryState(now).MayRetry(false) && s.retryBudget.Available() && s.retries.Len() == 0 {
		if choice, ok := s.balancer.Pick(now, s.retryPickOptions(r)); ok {
			s.discard(a)
			s.sendRetry(now, r, choice)
			return
		}
	}
	s.accept(now, a)
}

// accept forwards a response to the caller and cancels the other attempts.
func (s *Scheduler) accept(now time.Duration, a *attempt) {
	s.counters.Accepted++
	if a.hedge {
		s.counters.HedgeWins++
	}
	s.counters.Superseded += uint64(a.request.openAttempts)
	s.actions = append(s.actions, Action{Kind: ActionAccept, Request: a.request.ID, Attempt: a.id})
	s.closeRequest(now, a.request)
}

// discard drops a response. The handler ends the attempt immediately, so its
// window slot is released here.
func (s *Scheduler) discard(a *attempt) {
	s.actions = append(s.actions, Action{Kind: ActionDiscard, Request: a.request.ID, Attempt: a.id})
	s.release(a, false)
}

// settle marks the outcome of an attempt as decided.
func (s *Scheduler) settle(a *attempt) {
	a.settled = true
	a.request.openAttempts--
}
