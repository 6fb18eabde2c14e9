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

// attempt is one send of the request.
type attempt struct {
	target   string
	address  string
	cancel   context.CancelFunc
	over     chan struct{} // closed when the handler expects no result any more
	response *http.Response
	answer   dispatch.Response // valid with response
	permit   Permit            // valid with response
}

// attemptResult is what an attempt's goroutine found.
type attemptResult struct {
	id       dispatch.AttemptID
	response *http.Response
	permit   Permit // its Ended was called unless there is a response
	refused  *refusal.Refusal
	err      error
}

// send starts an attempt in a goroutine of its own.
func (e *exchange) send(a dispatch.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), e.attemptLimit())
	current := &attempt{target: a.Target, address: a.Address, cancel: cancel, over: make(chan struct{})}
	e.attempts[a.Attempt] = current
	outgoing := e.outgoing(a)
	e.server.options.Observer.Sent(e.id, a.Target, a.AttemptNumber, a.Hedge)
	go func() {
		result := e.try(ctx, outgoing, current)
		result.id = a.Attempt
		select {
		case e.results <- result:
		case <-current.over: // cancelled; a late answer is dropped
			discard(result.response)
			if result.response != nil {
				result.permit.end(balancer.OutcomeCanceled)
			}
		}
	}()
}

// try asks the guard and sends the attempt.
func (e *exchange) try(ctx context.Context, outgoing *transport.Attempt, current *attempt) (r attemptResult) {
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
		r.permit.end(current.outcome(r.err))
	}
	return r
}

// end calls Ended, if there is one.
func (p *Permit) end(outcome balancer.Outcome) {
	if p.Ended != nil {
		p.Ended(outcome)
	}
}

// outcome is that of a failed attempt, for the guard: a cancelled attempt says
// nothing about its target.
func (a *attempt) outcome(err error) balancer.Outcome {
	select {
	case <-a.over:
		return balancer.OutcomeCanceled
	default:
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return balancer.OutcomeCanceled
	}
	return outcomeOf(err)
}

// take reports an attempt's answer or failure to the task.
func (e *exchange) take(r attemptResult) {
	current := e.attempts[r.id]
	switch {
	case current == nil:
		discard(r.response)
		if r.response != nil {
			r.permit.end(balancer.OutcomeCanceled)
		}
	case r.refused != nil:
		e.guardRefused = r.refused
		e.end(r.id, balancer.OutcomeNotSent)
	case r.err != nil:
		e.end(r.id, outcomeOf(r.err))
	default:
		current.response, current.answer, current.permit = r.response, answerOf(r.response), r.permit
		if current.answer.Report.State == wire.TargetDraining {
			e.server.options.Observer.TargetDraining(current.address)
		}
		e.call.Responded(r.id, current.answer)
	}
}

// end finishes an attempt and reports its outcome.
func (e *exchange) end(id dispatch.AttemptID, outcome balancer.Outcome) {
	current := e.attempts[id]
	if current == nil {
		return
	}
	delete(e.attempts, id)
	if current.mayHaveRun(outcome) {
		e.mayHaveRun = true
	}
	close(current.over)
	discard(current.response) // before cancel, which closes the connection
	current.cancel()
	e.call.Ended(id, dispatch.End{Outcome: outcome})
	e.server.options.Observer.AttemptEnded(e.id, current.target, outcome)
	if current.response != nil {
		current.permit.end(outcome)
	}
}

// mayHaveRun reports whether the target may have run the request. An attempt
// that was cancelled before its answer counts as run: its bytes may be on the way.
func (a *attempt) mayHaveRun(outcome balancer.Outcome) bool {
	shed := a.response != nil && a.answer.Outcome == balancer.OutcomeShed
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
