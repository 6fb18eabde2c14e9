package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// maxResponseBytes bounds a target's answer, which is held until it is complete.
const maxResponseBytes = 16 << 20

// attempt is one send to one target.
type attempt struct {
	reservation
	number int
	// finished is set once the ending is known.
	finished bool
	attemptEnd
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome  attemptOutcome
	response *response // the target's, if it may be passed on
	err      error
	endedAt  time.Duration
	// load is the report that came with the answer; it has no slots without one.
	load placement.Load
}

// attemptOutcome names an ending.
type attemptOutcome string

// Outcomes of attempts. The empty one is that of an attempt under way.
const (
	attemptServed    attemptOutcome = "served"
	attemptError     attemptOutcome = "error"    // the target's own failure
	attemptRejected  attemptOutcome = "rejected" // the target did not run it
	attemptNotSent   attemptOutcome = "not-sent"
	attemptBroken    attemptOutcome = "broken"  // no answer, or not a whole one
	attemptUnsigned  attemptOutcome = "spoiled" // an answer that is not the target's
	attemptTimedOut  attemptOutcome = "timed-out"
	attemptCancelled attemptOutcome = "ended" // cancelled: the caller has gone or another answer won
)

// didNotRun reports whether the request certainly did not run.
func (o attemptOutcome) didNotRun() bool { return o == attemptRejected || o == attemptNotSent }

// send makes the attempt and returns how it ended.
func (x *exchange) send(ctx context.Context, message *transport.Attempt) attemptEnd {
	g := x.gateway
	resp, err := g.client.Do(ctx, message)
	if err == nil {
		var body []byte
		body, err = readAll(resp.Body, maxResponseBytes)
		_ = resp.Body.Close() // the read told whether the answer is whole
		if err == nil {
			e := x.classify(resp, body)
			e.endedAt = g.options.Now()
			if load, ok := g.options.Dialect.ParseLoad(resp.Header.Get(g.options.Dialect.Load)); ok {
				e.load = load
			}
			return e
		}
	}
	e := attemptEnd{outcome: attemptBroken, err: err, endedAt: g.options.Now()}
	var failed *transport.Error
	switch {
	case errors.As(err, &failed) && failed.NotSent:
		e.outcome = attemptNotSent
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		e.outcome = attemptTimedOut
	case ctx.Err() != nil:
		e.outcome = attemptCancelled
	}
	return e
}

// outgoingRequest returns what is sent to the target.
func (x *exchange) outgoingRequest(a *attempt) *transport.Attempt {
	d := &x.gateway.options.Dialect
	header := maps.Clone(x.caller.Header)
	transport.RemoveNamedByConnection(header)
	header[d.ExpectedTarget] = []string{a.Target.ID}
	left := max(0, (x.deadline - x.gateway.options.Now()).Milliseconds())
	header[d.Deadline] = []string{strconv.FormatInt(left, 10)}
	return &transport.Attempt{Target: a.Target.ID, Address: a.Target.Address, Method: x.caller.Method,
		URI: x.caller.RequestURI, Host: x.caller.Host, Header: header, Body: x.body, EchoHeader: d.RequestID}
}

// classify decides what a whole answer of a target means.
func (x *exchange) classify(resp *http.Response, body []byte) attemptEnd {
	d := &x.gateway.options.Dialect
	signed := resp.Header.Get(d.Signature) != ""
	status := resp.StatusCode
	passed := &response{status: status, header: resp.Header, body: body, outcome: outcomeTargetError}
	switch {
	case status == http.StatusMisdirectedRequest || resp.Header.Get(d.NotRun) != "":
		return attemptEnd{outcome: attemptRejected}
	case status < 300 && !signed:
		return attemptEnd{outcome: attemptUnsigned}
	case promisesNotRun(status):
		return attemptEnd{outcome: attemptError} // it may have run, so the status must not be passed on
	case status < 500:
		passed.outcome = outcomeServed
		return attemptEnd{outcome: attemptServed, response: passed}
	default:
		return attemptEnd{outcome: attemptError, response: passed}
	}
}

// promisesNotRun reports whether callers take the status as a statement that
// the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// slowTargetFactor is the multiple of the expected time from which a target without
// an answer is to blame for it.
const slowTargetFactor = 3

// placementResult is what the placement learns from the end of an attempt.
func (e *attemptEnd) placementResult(g reservation) placement.Outcome {
	r := placement.Outcome{Latency: e.endedAt - g.sentAt}
	switch e.outcome {
	case attemptServed:
		r.Answered = true
	case attemptError, attemptUnsigned:
		r.Failed = true
	case attemptRejected:
		r.Rejected = true
	case attemptTimedOut:
		r.Failed = r.Latency > slowTargetFactor*g.Expected
	case attemptBroken:
		r.Failed, r.ConnectionLost = true, true
	case attemptNotSent:
		r.Failed = !errors.Is(e.err, context.Canceled)
		r.ConnectionLost = r.Failed
	}
	return r
}

// readAll reads a body whose size is bounded.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Errorf("the answer is over %d bytes", limit)
	}
	return data, err
}
