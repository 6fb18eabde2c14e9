package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// maxProbes bounds the probes in flight. The scheduler asks the balancer for
// no more while it is reached.
const maxProbes = 64

// Idle reports that no request and no attempt is open. Nothing then becomes due
// but probes and the ends of ejections.
func (s *Scheduler) Idle() bool { return len(s.requests) == 0 && len(s.attempts) == 0 }

// Tick lets time pass. It must be called at least every TickInterval, or every
// IdleTickInterval while the scheduler is Idle.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.begin(now)
	s.lastTick = now
	s.bounds()
	for r := s.open.Head(); r != nil; {
		next := r.open.Next()
		s.age(now, r)
		r = next
	}
	s.drain(now)
	s.probe(now)
	return s.actions
}

// age ends a request whose deadline passed, or hedges a slow one.
func (s *Scheduler) age(now time.Duration, r *request) {
	switch {
	case now >= r.Deadline:
		s.refuse(now, r, refusal.Deadline, "the deadline passed")
	case r.item.Queued() && s.admission.CannotMeetDeadline(now, &r.item):
		s.refuse(now, r, refusal.Deadline, reasonLate)
	case r.sent > 0 && r.item.Queued() && !s.budget.Available() && now-r.retryFrom > maxBudgetWait:
		s.giveUpRetry(now, r)
	case r.live == 1:
		s.hedge(now, r)
	}
}

// maxBudgetWait bounds the wait for the retry budget. Requests earn it, so
// without traffic the wait would last until the deadline.
const maxBudgetWait = time.Second

// giveUpRetry refuses a request that could not be sent again.
func (s *Scheduler) giveUpRetry(now time.Duration, r *request) {
	kind := refusal.Overload
	if r.facts(now).MayHaveRun() {
		kind = refusal.AttemptFailed
	}
	s.refuse(now, r, kind, "the attempt failed and the budget for sending again stayed empty")
}

// Probed takes the end of a probe.
func (s *Scheduler) Probed(now time.Duration, p balancer.ProbeResult) []Action {
	s.begin(now)
	s.probes = max(0, s.probes-1)
	s.balancer.Probed(now, p)
	s.drain(now)
	return s.actions
}

// probe starts the probes that the balancer asks for.
func (s *Scheduler) probe(now time.Duration) {
	if s.probes >= maxProbes {
		return
	}
	s.choices = s.balancer.Probes(now, s.choices[:0])
	for _, choice := range s.choices {
		s.probes++
		s.actions = append(s.actions, Action{Kind: ActionProbe, Target: choice.Name, Address: choice.Address})
	}
}
