package entry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// attempt is a running attempt of the request at one target.
type attempt struct {
	target   string
	address  string
	cancel   context.CancelFunc
	done     chan struct{} // closed when the handler no longer waits for the result
	response *http.Response
	reported dispatch.Response // valid with response
	permit   Permit            // valid with response
}

// attemptResult is the outcome of an attempt's goroutine: exactly one of
// response, refused and err is set.
type attemptResult struct {
	id       dispatch.AttemptID
	response *http.Response
	permit   Permit // Ended was already called if response is nil
	refused  *refusal.Refusal
	err      error
}

// startAttempt starts an attempt in its own goroutine, which delivers the result
// to e.results.
func (e *exchange) startAttempt(a dispatch.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), e.attemptLimit())
	current := &attempt{target: a.Target, address: a.Address, cancel: cancel, done: make(chan struct{})}
	e.attempts[a.Attempt] = current
	outgoing := e.newAttempt(a)
	e.server.options.Observer.Sent(e.id, a.Target, a.AttemptNumber, a.Hedge)
	go func() {
		result := e.runAttempt(ctx, outgoing, current)
		result.id = a.Attempt
		select {
		case e.results <- result:
		case <-current.done: // the attempt was cancelled; a late response is discarded
			discard(result.response)
			if result.response != nil {
				result.permit.reportEnd(balancer.OutcomeCanceled)
			}
		}
	}()
}

// runAttempt sends the attempt if the guard admits it, and reads the response
// head.
func (e *exchange) runAttempt(ctx context.Context, outgoing *transport.Attempt, current *attempt) (r attemptResult) {
	if guard := e.server.options.Guard; guard != nil {
		if r.permit, r.refused = guard.Admit(ctx, e.fingerprint, outgoing.Target); r.refused != nil {
			return r
		}
		outgoing.NewConnection = r.permit.NewConnection
		if r.permit.Deadline > 0 {
			limited, cancel := context.WithTimeout(ctx, r.permit.Deadline-e.server.options.Now())
			context.AfterFunc(ctx, cancel) // ends with the attempt, not with this function
			ctx = limited
		}
	}
	if r.response, r.err = e.server.options.Transport.Do(ctx, outgoing); r.err != nil {
		r.permit.reportEnd(current.outcome(r.err))
	}
	return r
}

// reportEnd calls Ended if it is set.
func (p *Permit) reportEnd(outcome balancer.Outcome) {
	if p.Ended != nil {
		p.Ended(outcome)
	}
}

// outcome returns the outcome of a failed attempt for the guard. A cancelled
// attempt must not count against its target.
func (a *attempt) outcome(err error) balancer.Outcome {
	select {
	case <-a.done:
		return balancer.OutcomeCanceled
	default:
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return balancer.OutcomeCanceled
	}
	return outcomeOf(err)
}

// handleResult reports an attempt's response or failure to the dispatch task.
func (e *exchange) handleResult(r attemptResult) {
	current := e.attempts[r.id]
	switch {
	case current == nil:
		discard(r.response)
		if r.response != nil {
			r.permit.reportEnd(balancer.OutcomeCanceled)
		}
	case r.refused != nil:
		e.guardRefusal = r.refused
		e.endAttempt(r.id, balancer.OutcomeNotSent)
	case r.err != nil:
		e.endAttempt(r.id, outcomeOf(r.err))
	default:
		current.response, current.reported, current.permit = r.response, classifyResponse(r.response), r.permit
		if current.reported.Report.State == wire.TargetDraining {
			e.server.options.Observer.TargetDraining(current.address)
		}
		e.call.Responded(r.id, current.reported)
	}
}

// endAttempt ends an attempt, discards its response, and reports the outcome to
// the dispatch task, the observer and the guard. It does nothing if the attempt
// has already ended.
func (e *exchange) endAttempt(id dispatch.AttemptID, outcome balancer.Outcome) {
	current := e.attempts[id]
	if current == nil {
		return
	}
	delete(e.attempts, id)
	if current.mayHaveRun(outcome) {
		e.mayHaveRun = true
	}
	close(current.done)
	discard(current.response) // first, since cancel would close a reusable connection
	current.cancel()
	e.call.Ended(id, dispatch.End{Outcome: outcome})
	e.server.options.Observer.AttemptEnded(e.id, current.target, outcome)
	if current.response != nil {
		current.permit.reportEnd(outcome)
	}
}

// mayHaveRun reports whether the target may have run the request. It returns true
// for an attempt that was cancelled before its response: the request may still
// reach the target.
func (a *attempt) mayHaveRun(outcome balancer.Outcome) bool {
	shed := a.response != nil && a.reported.Outcome == balancer.OutcomeShed
	return outcome != balancer.OutcomeNotSent && outcome != balancer.OutcomeShed && !shed
}

func discard(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

func outcomeOf(err error) balancer.Outcome {
	var failed *transport.Error
	if errors.As(err, &failed) && failed.NotSent {
		return balancer.OutcomeNotSent
	}
	return balancer.OutcomeBroken
}
