package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// maxProbesInFlight is the number of probes in flight from which on no more
// probes are started.
const maxProbesInFlight = 64

// Idle reports whether there is no unanswered request and no attempt in flight.
// An idle Scheduler needs ticks only for probes and for the ends of ejections.
func (s *Scheduler) Idle() bool { return len(s.requests) == 0 && len(s.attempts) == 0 }

// Tick handles everything that depends on time alone: deadlines, hedges, retries
// and probes. It must be called at least every TickInterval, or every
// IdleTickInterval while the Scheduler is idle.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.beginEvent(now)
	s.lastTick = now
	s.updateBounds()
	for r := s.openRequests.Head(); r != nil; {
		next := r.open.Next()
		s.tickRequest(now, r)
		r = next
	}
	s.sendQueued(now)
	s.probe(now)
	return s.actions
}

// tickRequest refuses a request that passed or can no longer meet its deadline or
// waited too long for the retry budget, or hedges a slow one.
func (s *Scheduler) tickRequest(now time.Duration, r *request) {
	switch {
	case now >= r.Deadline:
		s.refuse(now, r, refusal.Deadline, "the deadline passed")
	case r.item.Queued() && s.admission.CannotMeetDeadline(now, &r.item):
		s.refuse(now, r, refusal.Deadline, reasonLate)
	case r.sent > 0 && r.item.Queued() && !s.retryBudget.Available() && now-r.retryQueuedAt > maxRetryBudgetWait:
		s.refuseRetry(now, r)
	case r.openAttempts == 1:
		s.hedge(now, r)
	}
}

// maxRetryBudgetWait bounds the wait for the retry budget. The budget is earned
// by requests, so without traffic a retry would wait until its deadline.
const maxRetryBudgetWait = time.Second

// refuseRetry refuses a request whose retry waited too long for the retry budget.
func (s *Scheduler) refuseRetry(now time.Duration, r *request) {
	kind := refusal.Overload
	if r.retryState(now).MayHaveRun() {
		kind = refusal.AttemptFailed
	}
	s.refuse(now, r, kind, "the attempt failed and the budget for sending again stayed empty")
}

// Probed handles the end of a probe.
func (s *Scheduler) Probed(now time.Duration, p balancer.ProbeResult) []Action {
	s.beginEvent(now)
	s.probesInFlight = max(0, s.probesInFlight-1)
	s.balancer.Probed(now, p)
	s.sendQueued(now)
	return s.actions
}

// probe starts the probes that the balancer requests.
func (s *Scheduler) probe(now time.Duration) {
	if s.probesInFlight >= maxProbesInFlight {
		return
	}
	s.choices = s.balancer.Probes(now, s.choices[:0])
	for _, choice := range s.choices {
		s.probesInFlight++
		s.actions = append(s.actions, Action{Kind: ActionProbe, Target: choice.Name, Address: choice.Address})
	}
}
