package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Refusal reasons that are used in more than one place.
const (
	reasonLate     = "the deadline would pass before the answer"
	reasonNoTarget = "no target of the pool is serving"
	reasonStale    = "this instance was paused and has not refreshed its state"
)

const (
	// noTargetRetryAfter is about the time until a recovered target is detected.
	noTargetRetryAfter = 500 * time.Millisecond
	// staleRetryAfter is about the duration of a state refresh.
	staleRetryAfter = time.Second
)

// refuse answers a request with a refusal and cancels its attempts. The refusal
// says refusal.NotRun only if every attempt is known not to have run.
func (s *Scheduler) refuse(now time.Duration, r *request, kind refusal.Kind, reason string) {
	execution := refusal.NotRun
	if r.retryState(now).MayHaveRun() {
		execution = refusal.MayHaveRun
	}
	s.closeRequest(now, r)
	s.counters.Refused.add(kind)
	s.actions = append(s.actions, Action{Kind: ActionRefuse, Request: r.ID, Refusal: kind, Execution: execution,
		Reason: reason, RetryAfter: s.retryAfter(now, kind, execution)})
}

// retryAfter returns the delay after which the caller may try again. It returns
// 0, no advice, if the request may have run: only the caller knows whether
// repeating it is safe.
func (s *Scheduler) retryAfter(now time.Duration, kind refusal.Kind, execution refusal.Execution) time.Duration {
	switch {
	case execution != refusal.NotRun:
		return 0
	case kind == refusal.NoTarget:
		return s.admission.Jitter(noTargetRetryAfter)
	case kind == refusal.StaleView:
		return s.admission.Jitter(staleRetryAfter)
	default:
		return s.admission.RetryAfter(now)
	}
}

// closeRequest removes a request from all queues and cancels its attempts in
// flight. The attempts are tracked until they have ended.
func (s *Scheduler) closeRequest(now time.Duration, r *request) {
	for i := range r.sent {
		if a := &r.attempts[i]; !a.settled {
			s.cancelAttempt(now, a)
		}
	}
	s.dequeue(r)
	delete(s.requests, r.ID)
	r.open.Unlink()
}

// dequeue removes a request from the queue that it waits in, if any.
func (s *Scheduler) dequeue(r *request) {
	switch {
	case !r.item.Queued():
	case r.sent > 0:
		s.retries.Remove(&r.item)
	default:
		s.admission.Queue.Remove(&r.item)
	}
}

// cancelAttempt cancels an attempt and counts its duration so far as a latency
// sample: ignoring cancelled attempts would make latencies look too short.
func (s *Scheduler) cancelAttempt(now time.Duration, a *attempt) {
	s.settle(a)
	elapsed := now - a.sentAt
	s.admission.Cancelled(now, a.request.item.Lane, elapsed)
	s.stragglers[a.request.item.Lane].Add(elapsed)
	s.actions = append(s.actions, Action{Kind: ActionCancel, Request: a.request.ID, Attempt: a.id})
}

// refuseQueue refuses all requests in a queue.
func (s *Scheduler) refuseQueue(now time.Duration, q *admission.Queue, kind refusal.Kind, reason string) {
	for item := q.Any(); item != nil; item = q.Any() {
		s.refuse(now, s.requests[RequestID(item.ID)], kind, reason)
	}
}
