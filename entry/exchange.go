package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// exchange is one request from its decision to its answer. It is used by the
// request's handler goroutine.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	route    string
	ticket   string // set on non-idempotent routes
	body     []byte
	memory   *held
	decision dispatch.Request
	arrived  time.Duration // when the header had arrived
	task     *dispatch.Task
	call     *dispatch.Call
	results  chan attemptResult
	attempts map[dispatch.AttemptID]*attempt
	// mayHaveRun is set when an ended attempt may have run the request.
	mayHaveRun bool
	// fingerprint is set when there is a guard or a ticket.
	fingerprint Fingerprint
	// guardRefused is the guard's refusal of the latest attempt.
	guardRefused *refusal.Refusal
	// recorded is the whole answer of a non-idempotent request.
	recorded *RecordedResponse
}

// run asks whether the request may run, runs it, and answers the caller.
func (e *exchange) run() {
	if e.server.options.Guard == nil && e.ticket == "" {
		e.dispatch()
		return
	}
	ctx, cancel := context.WithTimeout(e.request.Context(), e.decision.Deadline-e.server.options.Now())
	defer cancel()
	e.fingerprint = fingerprintOf(e.route, e.request, e.body)
	if e.ticket == "" {
		e.checked(ctx)
		return
	}
	e.runOnce(ctx, e.server.options.Once.Begin(ctx, e.ticket, e.fingerprint))
}

// checked dispatches the request if the guard lets it.
func (e *exchange) checked(ctx context.Context) {
	if guard := e.server.options.Guard; guard != nil {
		if refused := guard.Check(ctx, e.fingerprint); refused != nil {
			e.refuse(refused)
			return
		}
	}
	e.dispatch()
}

// runOnce carries out the decision on a non-idempotent request.
func (e *exchange) runOnce(ctx context.Context, decision OnceDecision) {
	switch {
	case decision.Refusal != nil:
		e.tell(decision.Refusal)
	case decision.Replay != nil:
		e.replay(decision.Replay)
	default:
		// Also called when an answer is aborted by a panic.
		defer func() { decision.Finish(OnceResult{Execution: e.execution(), Response: e.recorded}) }()
		e.checked(ctx)
	}
}

// execution says whether the request may have been run so far.
func (e *exchange) execution() refusal.Execution {
	if e.mayHaveRun || len(e.attempts) > 0 {
		return refusal.MayHaveRun
	}
	return refusal.NotRun
}

// dispatch carries out the task's actions until the caller has an answer or is gone.
func (e *exchange) dispatch() {
	e.attempts = make(map[dispatch.AttemptID]*attempt, 1)
	e.call = e.task.Submit(e.decision)
	defer e.finish()
	for {
		select {
		case action := <-e.call.Actions():
			if e.perform(action) {
				return
			}
		case result := <-e.results:
			e.take(result)
		case <-e.request.Context().Done():
			e.abandon()
			return
		case <-e.call.Done():
			e.refuse(refusal.New(refusal.Leaving, "the pool was removed or the instance is ending"))
			return
		}
	}
}

// perform carries out one action and reports whether the request is over.
func (e *exchange) perform(a dispatch.Action) bool {
	switch a.Kind {
	case dispatch.ActionSend:
		e.send(a)
	case dispatch.ActionAccept:
		return e.accept(a.Attempt)
	case dispatch.ActionDiscard, dispatch.ActionCancel:
		e.end(a.Attempt, balancer.OutcomeCanceled)
	case dispatch.ActionRefuse:
		if e.guardRefused != nil && a.Refusal == refusal.NoTarget {
			e.refuse(e.guardRefused)
			return true
		}
		e.refuse(&refusal.Refusal{Kind: a.Refusal, Execution: a.Execution, Reason: a.Reason, RetryAfter: a.RetryAfter})
		return true
	}
	return false
}

// refuse answers with a refusal. "Not run" is never said of a request whose
// attempts allow no such promise.
func (e *exchange) refuse(r *refusal.Refusal) {
	written := *r // the decision may belong to someone else
	if written.Execution == refusal.NotRun {
		written.Execution = e.execution()
	}
	e.endAll()
	e.tell(&written)
}

// tell answers with a refusal as it is.
func (e *exchange) tell(r *refusal.Refusal) {
	e.server.refuse(e.writer, e.id, r)
	e.server.options.Observer.Refused(e.id, e.route, r, e.took())
}

// abandon notes that the caller went away.
func (e *exchange) abandon() {
	e.server.counters.abandoned.Add(1)
	e.server.options.Observer.Canceled(e.id, e.route)
}

// took is the time since the request's header had arrived.
func (e *exchange) took() time.Duration { return e.server.options.Now() - e.arrived }

// endAll cancels the attempts that are left.
func (e *exchange) endAll() {
	for id := range e.attempts {
		e.end(id, balancer.OutcomeCanceled)
	}
}

// finish ends what is left of the request.
func (e *exchange) finish() {
	e.endAll()
	e.call.Close()
}
