package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// grantValidity is the time within which a handler must start to write. A
// later write would use a decision that is no longer true.
const grantValidity = 500 * time.Millisecond

// send starts an attempt.
func (s *Scheduler) send(now time.Duration, r *request, choice balancer.Choice) *attempt {
	s.next++
	a := &r.attempts[r.sent]
	*a = attempt{request: r, id: s.next, index: choice.Index, target: choice.Name, sent: now, held: true}
	r.sent++
	r.live++
	s.attempts[a.id] = a
	s.admission.Window.Sent()
	if r.item.Lane == admission.LaneLong {
		s.long++
	}
	s.balancer.Sent(now, choice.Index, r.Class)
	s.counters.Sends++
	s.actions = append(s.actions, Action{Kind: ActionSend, Request: r.ID, Attempt: a.id, Target: choice.Name,
		Address: choice.Address, AttemptNumber: max(1, r.Attempt) + r.sent - 1, Expires: now + grantValidity})
	return a
}

// sendAgain starts an attempt after one that failed, from the budget.
func (s *Scheduler) sendAgain(now time.Duration, r *request, choice balancer.Choice) {
	s.budget.Take()
	s.counters.Retries++
	s.send(now, r, choice)
}

// another asks for a target that the request was not sent to.
func (s *Scheduler) another(r *request) balancer.PickOptions {
	s.exclude = s.exclude[:0]
	for i := range r.sent {
		s.exclude = append(s.exclude, r.attempts[i].index)
	}
	return balancer.PickOptions{Class: r.Class, Exclude: s.exclude, Retry: true}
}

// release gives an attempt's place in the window back.
func (s *Scheduler) release(a *attempt, free bool) {
	if !a.held {
		return
	}
	a.held = false
	s.admission.Window.Released(free)
	if a.request.item.Lane == admission.LaneLong {
		s.long--
	}
}
