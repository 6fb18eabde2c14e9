package gateway

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// maxResponseBytes limits the body of a target's response, which is buffered
// until it is complete.
const maxResponseBytes = 16 << 20

// attempt is one send of a request to one target, or to another instance.
type attempt struct {
	reservation
	// peer is the instance that got the request; not valid if a target did.
	peer   netip.Addr
	number int // from 1
	// maxRuns is the number of targets that may run the request in this attempt.
	maxRuns int
	// afterFailure is true if a target was known to have failed under the request when the
	// attempt began.
	afterFailure bool
	// finished is true once attemptEnd is set.
	finished bool
	attemptEnd
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome  attemptOutcome
	response *response // nil if it must not be forwarded to the caller
	err      error
	endedAt  time.Duration
	// load is the load report in the response; Slots is 0 if there was none.
	load placement.Load
	// advice is what the target says in its response, if advised is set.
	advice  placement.Advice
	advised bool
}

// attemptOutcome is how an attempt ended, as written to logs and metrics.
type attemptOutcome string

// Outcomes of attempts. An attempt in progress has the empty outcome.
const (
	attemptServed    attemptOutcome = "served"
	attemptError     attemptOutcome = "error"    // status 500 or above, or one that wrongly states "not run"
	attemptRejected  attemptOutcome = "rejected" // the target states that it did not run the request
	attemptNotSent   attemptOutcome = "not-sent"
	attemptBroken    attemptOutcome = "broken"  // no response, or an incomplete or invalid one
	attemptUnsigned  attemptOutcome = "spoiled" // success without the target's signature
	attemptTimedOut  attemptOutcome = "timed-out"
	attemptRelayed   attemptOutcome = "relayed"   // another instance gave the response
	attemptRefused   attemptOutcome = "refused"   // another instance refused it; it did not run
	attemptUnable    attemptOutcome = "unable"    // another instance cannot serve it now; it did not run
	attemptNoMemory  attemptOutcome = "no-memory" // this instance had no memory for the response
	attemptCancelled attemptOutcome = "ended"     // cancelled: the caller is gone or another attempt gave the response
)

// didNotRun reports whether the attempt certainly did not run the request, so
// that a retry is safe also for a request that is not idempotent.
func (o attemptOutcome) didNotRun() bool {
	return o == attemptRejected || o == attemptNotSent || o == attemptRefused || o == attemptUnable
}

// didNotArrive reports whether the attempt reached no target.
func (o attemptOutcome) didNotArrive() bool { return o == attemptNotSent || o == attemptUnable }

// send sends the request and waits until the response is complete or the
// attempt fails. arrived is called when the head of the response has arrived.
func (x *exchange) send(ctx context.Context, request *transport.Attempt, arrived func()) attemptEnd {
	g := x.gateway
	resp, err := g.client.Do(ctx, request)
	arrived()
	if err != nil {
		var failed *transport.Error
		return x.failedAttempt(ctx, err, errors.As(err, &failed) && failed.NotSent)
	}
	var body segments.Buffer
	memory := x.memory.newResponseBody(request.Target)
	err = body.Fill(resp.Body, resp.ContentLength, maxResponseBytes, memory.reserve)
	_ = resp.Body.Close() // Fill has already detected an incomplete body
	var e attemptEnd
	if err != nil {
		e = x.failedAttempt(ctx, err, false)
	} else {
		e = x.classify(resp, &body)
		if e.response != nil {
			e.response.memory = memory
		}
		e.endedAt = g.options.Now()
		if load, ok := g.options.Dialect.ParseLoad(resp.Header.Get(g.options.Dialect.Load)); ok {
			e.load = load
		}
	}
	if resp.StatusCode != http.StatusMisdirectedRequest { // that is the response of another target
		e.advice, e.advised = g.parseAdvice(resp, err == nil)
	}
	return e
}

// parseAdvice returns what a target says in a response. One that broke off after its head only
// counts if it says something: it does not end what the target said before.
func (g *Gateway) parseAdvice(resp *http.Response, complete bool) (advice placement.Advice, advised bool) {
	advice = g.options.Dialect.ParseAdvice(resp.StatusCode, resp.Header)
	return advice, complete || advice != (placement.Advice{})
}

// failedAttempt returns the end of an attempt without a complete response. notSent is true if it
// certainly reached no target.
func (x *exchange) failedAttempt(ctx context.Context, err error, notSent bool) attemptEnd {
	e := attemptEnd{outcome: attemptBroken, err: err, endedAt: x.gateway.options.Now()}
	switch {
	case notSent:
		e.outcome = attemptNotSent
	case errors.Is(err, segments.ErrNoMemory):
		e.outcome = attemptNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		e.outcome = attemptTimedOut
	case ctx.Err() != nil:
		e.outcome = attemptCancelled
	}
	return e
}

// outgoingRequest returns the request to the target of an attempt: the caller's
// request with the expected target and the remaining time.
func (x *exchange) outgoingRequest(a *attempt) *transport.Attempt {
	d := &x.gateway.options.Dialect
	header := maps.Clone(x.caller.Header)
	transport.RemoveNamedByConnection(header)
	header[d.ExpectedTarget] = []string{a.Target.ID}
	remaining := max(0, (x.deadline - x.gateway.options.Now()).Milliseconds())
	header[d.Deadline] = []string{strconv.FormatInt(remaining, 10)}
	return &transport.Attempt{Target: a.Target.ID, Address: a.Target.Address, Method: x.caller.Method,
		URI: x.caller.RequestURI, Host: x.caller.Host, Header: header, Body: x.body.Segments(), EchoHeader: d.RequestID}
}

// classify returns the outcome for a complete response of a target.
func (x *exchange) classify(resp *http.Response, body *segments.Buffer) attemptEnd {
	d := &x.gateway.options.Dialect
	signed := resp.Header.Get(d.Signature) != ""
	status := resp.StatusCode
	forwarded := &response{status: status, header: resp.Header, body: body, outcome: outcomeTargetError}
	switch {
	case status == http.StatusMisdirectedRequest || resp.Header.Get(d.NotRun) != "":
		return attemptEnd{outcome: attemptRejected}
	case status < 300 && !signed:
		return attemptEnd{outcome: attemptUnsigned}
	case promisesNotRun(status):
		return attemptEnd{outcome: attemptError} // it may have run, so the caller must not see this status
	case status < 500:
		forwarded.outcome = outcomeServed
		return attemptEnd{outcome: attemptServed, response: forwarded}
	default:
		return attemptEnd{outcome: attemptError, response: forwarded}
	}
}

// promisesNotRun reports whether callers take the status as a guarantee that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// noConnection reports whether an exchange failed since no connection to the target could be
// made.
func noConnection(err error) bool {
	var failed *transport.Error
	return errors.As(err, &failed) && failed.Step == transport.StepConnect && !errors.Is(err, context.Canceled)
}

// timedOutAtTarget reports whether an exchange ended at its deadline while it had a connection.
func timedOutAtTarget(err error) bool {
	var failed *transport.Error
	return errors.As(err, &failed) && failed.Step != transport.StepWait && errors.Is(err, context.DeadlineExceeded)
}

// slowTargetFactor is the multiple of the expected time after which a time-out
// counts as a failure of the target. Below it the caller's deadline was too short.
const slowTargetFactor = 3

// placementOutcome converts the end of an attempt for package placement.
func (e *attemptEnd) placementOutcome(res reservation) placement.Outcome {
	r := placement.Outcome{Latency: e.endedAt - res.sentAt}
	switch e.outcome {
	case attemptServed:
		r.Responded, r.ResponseBytes = true, e.response.body.Len()
	case attemptError, attemptUnsigned:
		r.Failed = true
	case attemptRejected:
		r.Rejected = true
	case attemptTimedOut:
		r.Failed = r.Latency > slowTargetFactor*res.Expected
	case attemptBroken:
		r.Failed, r.ConnectionLost = true, true
	case attemptNotSent:
		r.Failed = !errors.Is(e.err, context.Canceled)
		r.ConnectionLost = r.Failed
		r.NoConnection = r.Failed && noConnection(e.err)
	}
	return r
}
