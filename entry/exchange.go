package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/internal/segments"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// exchange is the state of one admitted request until its response is written.
// Only the request's handler goroutine uses it.
type exchange struct {
	server          *Server
	writer          http.ResponseWriter
	request         *http.Request
	id              string
	route           string
	ticket          string           // set on non-idempotent routes
	body            *segments.Buffer // nil if it is empty
	memory          *requestMemory
	dispatchRequest dispatch.Request
	arrivedAt       time.Duration // when the request header had been read
	task            *dispatch.Task
	call            *dispatch.Call
	results         chan attemptResult
	attempts        map[dispatch.AttemptID]*attempt
	// mayHaveRun is true if the target of an ended attempt may have run the request.
	mayHaveRun bool
	// fingerprint is set only if there is a guard or a ticket.
	fingerprint Fingerprint
	// guardRefusal is the guard's refusal of the latest attempt that it refused.
	guardRefusal *refusal.Refusal
	// recorded is the whole response to a non-idempotent request.
	recorded *RecordedResponse
}

// run checks whether the request may run, dispatches it, and writes the response.
func (e *exchange) run() {
	if e.server.options.Guard == nil && e.ticket == "" {
		e.dispatch()
		return
	}
	ctx, cancel := context.WithTimeout(e.request.Context(), e.dispatchRequest.Deadline-e.server.options.Now())
	defer cancel()
	e.fingerprint = fingerprintOf(e.route, e.request, e.body)
	if e.ticket == "" {
		e.checkAndDispatch(ctx)
		return
	}
	e.runOnce(ctx, e.server.options.Once.Begin(ctx, e.ticket, e.fingerprint))
}

// checkAndDispatch dispatches the request unless the guard refuses it.
func (e *exchange) checkAndDispatch(ctx context.Context) {
	if guard := e.server.options.Guard; guard != nil {
		if refused := guard.Check(ctx, e.fingerprint); refused != nil {
			e.refuse(refused)
			return
		}
	}
	e.dispatch()
}

// runOnce refuses, replays or runs a non-idempotent request, as decided by
// Options.Once.
func (e *exchange) runOnce(ctx context.Context, decision OnceDecision) {
	switch {
	case decision.Refusal != nil:
		e.writeRefusal(decision.Refusal)
	case decision.Replay != nil:
		e.replay(decision.Replay)
	default:
		// Deferred, because abortResponse panics.
		defer func() { decision.Finish(OnceResult{Execution: e.execution(), Response: e.recorded}) }()
		e.checkAndDispatch(ctx)
	}
}

// execution returns whether a target may have run the request so far.
func (e *exchange) execution() refusal.Execution {
	if e.mayHaveRun || len(e.attempts) > 0 {
		return refusal.MayHaveRun
	}
	return refusal.NotRun
}

// dispatch submits the request to the dispatch task and performs the task's
// actions until the caller has a response or has disconnected.
func (e *exchange) dispatch() {
	e.attempts = make(map[dispatch.AttemptID]*attempt, 1)
	e.call = e.task.Submit(e.dispatchRequest)
	defer e.finish()
	for {
		select {
		case action := <-e.call.Actions():
			if e.perform(action) {
				return
			}
		case result := <-e.results:
			e.handleResult(result)
		case <-e.request.Context().Done():
			e.abortCallerGone()
		case <-e.call.Done():
			e.refuse(refusal.New(refusal.Leaving, "the pool was removed or the instance is ending"))
			return
		}
	}
}

// perform carries out one action and reports whether the request is complete.
func (e *exchange) perform(a dispatch.Action) bool {
	switch a.Kind {
	case dispatch.ActionSend:
		e.startAttempt(a)
	case dispatch.ActionAccept:
		return e.accept(a.Attempt)
	case dispatch.ActionDiscard, dispatch.ActionCancel:
		e.endAttempt(a.Attempt, balancer.OutcomeCanceled)
	case dispatch.ActionRefuse:
		if e.guardRefusal != nil && a.Refusal == refusal.NoTarget {
			e.refuse(e.guardRefusal)
			return true
		}
		e.refuse(&refusal.Refusal{Kind: a.Refusal, Execution: a.Execution, Reason: a.Reason, RetryAfter: a.RetryAfter})
		return true
	}
	return false
}

// refuse cancels all attempts and writes a refusal. It changes "not run" to "may
// have run" if a target may have run the request.
func (e *exchange) refuse(r *refusal.Refusal) {
	written := *r // r may be shared and must not be changed
	if written.Execution == refusal.NotRun {
		written.Execution = e.execution()
	}
	e.cancelAttempts()
	e.writeRefusal(&written)
}

// writeRefusal writes a refusal without changing it.
func (e *exchange) writeRefusal(r *refusal.Refusal) {
	e.server.refuse(e.writer, e.id, r)
	e.server.options.Observer.Refused(e.id, e.route, r, e.elapsed())
}

// abortCallerGone counts and reports that the caller has disconnected, and panics with
// http.ErrAbortHandler: net/http would answer 200, and a caller that has only closed its
// sending side would take that for the target's response.
func (e *exchange) abortCallerGone() {
	e.server.counters.abandoned.Add(1)
	e.server.options.Observer.Canceled(e.id, e.route)
	panic(http.ErrAbortHandler)
}

// elapsed returns the time since the request header had been read.
func (e *exchange) elapsed() time.Duration { return e.server.options.Now() - e.arrivedAt }

// cancelAttempts ends all running attempts as cancelled.
func (e *exchange) cancelAttempts() {
	for id := range e.attempts {
		e.endAttempt(id, balancer.OutcomeCanceled)
	}
}

// finish cancels the running attempts and closes the dispatch call.
func (e *exchange) finish() {
	e.cancelAttempts()
	e.call.Close()
}
