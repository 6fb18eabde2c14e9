package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Answered takes the head of an attempt's answer.
func (s *Scheduler) Answered(now time.Duration, id AttemptID, answer Answer) []Action {
	s.begin(now)
	a := s.attempts[id]
	if a == nil || a.answered {
		return s.actions
	}
	a.answered, a.outcome = true, answer.Outcome
	s.learn(now, a, answer)
	if !a.settled {
		s.settle(a)
		s.judge(now, a)
	}
	s.drain(now)
	return s.actions
}

// learn passes an answer on to the state that follows targets.
func (s *Scheduler) learn(now time.Duration, a *attempt, answer Answer) {
	s.balancer.Answered(now, a.index, now-a.sent, answer.Outcome, answer.Report)
	load := answer.Report.Load
	if answer.Outcome == balancer.OutcomeShed {
		s.shedQueue = load.Queued
		s.shed(now, a)
		return
	}
	a.free = answer.Report.HasLoad && load.Queued == 0
	a.hasRoom = answer.Report.HasLoad && load.Queued <= s.shedQueue/2
	s.admission.Window.Report(now, a.sent, queuePerSlot(answer.Report))
	if answer.Outcome == balancer.OutcomeOK {
		s.straggler[a.request.item.Lane].Add(now - a.sent)
	}
}

// queuePerSlot is the number of requests that wait at the target, per slot.
func queuePerSlot(r balancer.Report) float64 {
	if !r.HasLoad {
		return 0
	}
	return float64(r.Load.Queued) / float64(max(1, r.Load.Slots))
}

// shed notes that a target did not run an attempt.
func (s *Scheduler) shed(now time.Duration, a *attempt) {
	s.counters.Shed++
	s.admission.RecordShortage(now)
	s.admission.Window.Shed(now, a.sent)
}

// judge decides what an answer means for its request.
func (s *Scheduler) judge(now time.Duration, a *attempt) {
	switch a.outcome {
	case balancer.OutcomeOK:
		s.accept(now, a)
	case balancer.OutcomeShed:
		a.request.notRun++
		s.discard(a)
		s.failed(now, a.request, balancer.OutcomeShed)
	default:
		s.judgeError(now, a)
	}
}

// judgeError passes a target's own error on, unless another attempt is in
// flight or an attempt at another target can be sent right now. The answer is
// not given up for a chance to send later. The new attempt takes the place of
// the old one, so the attempts in flight do not grow.
func (s *Scheduler) judgeError(now time.Duration, a *attempt) {
	r := a.request
	if r.live > 0 {
		s.discard(a)
		return
	}
	if !s.stale && r.facts(now).MayResend(false) && s.budget.Available() && s.retries.Len() == 0 {
		if choice, ok := s.balancer.Pick(now, s.another(r)); ok {
			s.discard(a)
			s.sendAgain(now, r, choice)
			return
		}
	}
	s.accept(now, a)
}

// accept passes an answer to the caller and cancels the other attempts.
func (s *Scheduler) accept(now time.Duration, a *attempt) {
	s.counters.Accepted++
	if a.hedge {
		s.counters.HedgeWins++
	}
	s.counters.Superseded += uint64(a.request.live)
	s.actions = append(s.actions, Action{Kind: ActionAccept, Request: a.request.ID, Attempt: a.id})
	s.close(now, a.request)
}

// discard drops an answer. Its handler ends the attempt at once, so its place
// in the window is free from now on.
func (s *Scheduler) discard(a *attempt) {
	s.actions = append(s.actions, Action{Kind: ActionDiscard, Request: a.request.ID, Attempt: a.id})
	s.release(a, false)
}

// settle marks the outcome of an attempt as decided.
func (s *Scheduler) settle(a *attempt) {
	a.settled = true
	a.request.live--
}
