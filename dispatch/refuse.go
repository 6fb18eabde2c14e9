package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Reasons that are given in more than one place.
const (
	reasonLate     = "the deadline would pass before the answer"
	reasonNoTarget = "no target of the pool is serving"
	reasonStale    = "this instance was paused and has not refreshed its state"
)

const (
	// noTargetRetryAfter is about the time in which a target is seen to serve again.
	noTargetRetryAfter = 500 * time.Millisecond
	// staleRetryAfter is about the time that a refresh takes.
	staleRetryAfter = time.Second
)

// refuse answers a request with a refusal and cancels its attempts. "not run"
// is said only when every send is proven not to have run.
func (s *Scheduler) refuse(now time.Duration, r *request, kind refusal.Kind, reason string) {
	execution := refusal.NotRun
	if r.facts(now).MayHaveRun() {
		execution = refusal.MayHaveRun
	}
	s.close(now, r)
	s.counters.Refused.add(kind)
	s.actions = append(s.actions, Action{Kind: ActionRefuse, Request: r.ID, Refusal: kind, Execution: execution,
		Reason: reason, RetryAfter: s.retryAfter(now, kind, execution)})
}

// retryAfter advises the caller. A request that may have run is for the caller
// to judge, so no time is named.
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

// close ends a request: it leaves all queues, and attempts in flight are
// cancelled. They are known until they have ended.
func (s *Scheduler) close(now time.Duration, r *request) {
	for i := range r.sent {
		if a := &r.attempts[i]; !a.settled {
			s.abandon(now, a)
		}
	}
	s.dequeue(r)
	delete(s.requests, r.ID)
	r.open.Unlink()
}

// dequeue takes a request out of the queue that it waits in, if any.
func (s *Scheduler) dequeue(r *request) {
	switch {
	case !r.item.Queued():
	case r.sent > 0:
		s.retries.Remove(&r.item)
	default:
		s.admission.Queue.Remove(&r.item)
	}
}

// abandon cancels an attempt.
func (s *Scheduler) abandon(now time.Duration, a *attempt) {
	s.settle(a)
	held := now - a.sent
	s.admission.Cancelled(now, a.request.item.Lane, held)
	s.straggler[a.request.item.Lane].Add(held)
	s.actions = append(s.actions, Action{Kind: ActionCancel, Request: a.request.ID, Attempt: a.id})
}

// refuseQueue refuses all requests that wait in a queue.
func (s *Scheduler) refuseQueue(now time.Duration, q *admission.Queue, kind refusal.Kind, reason string) {
	for item := q.Any(); item != nil; item = q.Any() {
		s.refuse(now, s.requests[RequestID(item.ID)], kind, reason)
	}
}
