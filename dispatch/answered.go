package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Answered handles the head of an attempt's answer.
func (s *Scheduler) Answered(now time.Duration, id AttemptID, answer Answer) []Action {
	s.beginEvent(now)
	a := s.attempts[id]
	if a == nil || a.answered {
		return s.actions
	}
	a.answered, a.outcome = true, answer.Outcome
	s.recordAnswer(now, a, answer)
	if !a.settled {
		s.settle(a)
		s.handleAnswer(now, a)
	}
	s.sendQueued(now)
	return s.actions
}

// recordAnswer updates the balancer, the admission window and the straggler
// threshold from an answer.
func (s *Scheduler) recordAnswer(now time.Duration, a *attempt, answer Answer) {
	s.balancer.Answered(now, a.index, now-a.sentAt, answer.Outcome, answer.Report)
	load := answer.Report.Load
	if answer.Outcome == balancer.OutcomeShed {
		s.shedQueueLen = load.Queued
		s.noteShed(now, a)
		return
	}
	a.noQueue = answer.Report.HasLoad && load.Queued == 0
	a.hasRoom = answer.Report.HasLoad && load.Queued <= s.shedQueueLen/2
	s.admission.Window.Report(now, a.sentAt, queuePerSlot(answer.Report))
	if answer.Outcome == balancer.OutcomeOK {
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
	s.admission.NoteShortage(now)
	s.admission.Window.Shed(now, a.sentAt)
}

// handleAnswer accepts the answer of an attempt or discards it and retries or
// refuses the request.
func (s *Scheduler) handleAnswer(now time.Duration, a *attempt) {
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

// handleError forwards a target's error answer to the caller, unless another
// attempt is in flight or a retry at another target can be sent immediately.
// The answer is not discarded for a retry that would have to wait. The retry
// uses the window slot of the failed attempt, so the number of attempts in
// flight does not grow.
func (s *Scheduler) handleError(now time.Duration, a *attempt) {
	r := a.request
	if r.openAttempts > 0 {
		s.discard(a)
		return
	}
	if !s.stale && r.facts(now).MayResend(false) && s.retryBudget.Available() && s.retries.Len() == 0 {
		if choice, ok := s.balancer.Pick(now, s.retryPickOptions(r)); ok {
			s.discard(a)
			s.sendRetry(now, r, choice)
			return
		}
	}
	s.accept(now, a)
}

// accept forwards an answer to the caller and cancels the other attempts.
func (s *Scheduler) accept(now time.Duration, a *attempt) {
	s.counters.Accepted++
	if a.hedge {
		s.counters.HedgeWins++
	}
	s.counters.Superseded += uint64(a.request.openAttempts)
	s.actions = append(s.actions, Action{Kind: ActionAccept, Request: a.request.ID, Attempt: a.id})
	s.closeRequest(now, a.request)
}

// discard drops an answer. The handler ends the attempt immediately, so its
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
