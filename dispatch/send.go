package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// sendValidity is the time within which a handler must start to write an
// attempt. After that the choice of target rests on outdated load.
const sendValidity = 500 * time.Millisecond

// send starts an attempt at the chosen target.
func (s *Scheduler) send(now time.Duration, r *request, choice balancer.Choice) *attempt {
	s.lastAttemptID++
	a := &r.attempts[r.sent]
	*a = attempt{request: r, id: s.lastAttemptID, index: choice.Index, target: choice.Name, sentAt: now, inWindow: true}
	r.sent++
	r.openAttempts++
	s.attempts[a.id] = a
	s.admission.Window.Sent()
	if r.item.Lane == admission.LaneLong {
		s.longInFlight++
	}
	s.balancer.Sent(now, choice.Index, r.Class)
	s.counters.Sends++
	s.actions = append(s.actions, Action{Kind: ActionSend, Request: r.ID, Attempt: a.id, Target: choice.Name,
		Address: choice.Address, AttemptNumber: max(1, r.Attempt) + r.sent - 1, Expires: now + sendValidity})
	return a
}

// sendRetry starts an attempt after a failed one and charges it to the retry
// budget.
func (s *Scheduler) sendRetry(now time.Duration, r *request, choice balancer.Choice) {
	s.retryBudget.Take()
	s.counters.Retries++
	s.send(now, r, choice)
}

// retryPickOptions returns the options to pick a target that the request was not
// sent to before. They are valid until the next call.
func (s *Scheduler) retryPickOptions(r *request) balancer.PickOptions {
	s.exclude = s.exclude[:0]
	for i := range r.sent {
		s.exclude = append(s.exclude, r.attempts[i].index)
	}
	return balancer.PickOptions{Class: r.Class, Exclude: s.exclude, Retry: true}
}

// release releases the window slot of an attempt, if it still has one.
// noQueue tells the window that no request waits at the target.
func (s *Scheduler) release(a *attempt, noQueue bool) {
	if !a.inWindow {
		return
	}
	a.inWindow = false
	s.admission.Window.Released(noQueue)
	if a.request.item.Lane == admission.LaneLong {
		s.longInFlight--
	}
}
