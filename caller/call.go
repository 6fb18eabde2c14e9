package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// call is one call of Do.
type call struct {
	client  *Client
	ctx     context.Context
	request *Request
	id      string
	// needsTicket is set for a non-idempotent request, which carries a ticket.
	needsTicket bool
	instances   []entry.ResolvedInstance // of the last resolve answer
	instance    entry.ResolvedInstance
	ticket      string
	attempts    int // attempts so far
	tried       map[string]bool
	// mayHaveRun is true if a target may have run an earlier attempt.
	mayHaveRun bool
}

// run makes attempts until one returns a response or a retry is not allowed.
func (c *call) run() (*Response, error) {
	for {
		response, err := c.attempt()
		if err == nil {
			return response, nil
		}
		retry, pause := c.retryDecision(err)
		if !retry || c.attempts >= c.client.options.MaxAttempts || !c.wait(pause) {
			return nil, c.finalError(err)
		}
	}
}

// attempt sends the request once. It returns the whole response of a target, or an
// error.
func (c *call) attempt() (*Response, error) {
	if c.ticket == "" || !c.mayHaveRun { // otherwise the instance and the ticket must stay the same
		if err := c.prepare(); err != nil {
			c.attempts++
			return nil, err
		}
	}
	c.attempts++
	response, err := c.client.transport.Do(c.ctx, c.outgoing())
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if refused := refusal.Parse(response); refused != nil {
		return nil, refused
	}
	if response.Header.Get(wire.HeaderAnsweredBy) != wire.AnsweredByTarget {
		return nil, errors.Errorf("status %d is neither a target's response nor a refusal", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, c.client.options.MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > c.client.options.MaxResponseBytes {
		return nil, errResponseTooLarge
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: text, RequestID: c.id,
		Instance: c.instance.ID, Attempts: c.attempts}, nil
}

var errResponseTooLarge = errors.New("the response exceeds the size limit")

// prepareError is a failure before an attempt was sent.
type prepareError struct {
	step string
	err  error
}

func (e *prepareError) Error() string { return e.step + ": " + e.err.Error() }
func (e *prepareError) Unwrap() error { return e.err }

// prepare chooses an instance and gets a ticket if the request needs one. Its
// errors are *prepareError.
func (c *call) prepare() error {
	resolution, err := c.client.resolver.get(c.ctx)
	if err != nil {
		return &prepareError{"resolve", err}
	}
	c.instances = resolution.Instances
	c.instance = c.client.resolver.choose(resolution.Instances, c.tried)
	c.tried[c.instance.Address] = true
	if !c.needsTicket {
		return nil
	}
	c.ticket, err = c.client.tickets.get(c.ctx, c.instance.Address)
	if err != nil {
		c.client.resolver.markFailed(c.instance.Address)
		return &prepareError{"get tickets", err}
	}
	return nil
}

// The deadline sent to the instance is earlier than the caller's by a margin of
// 1/refusalMarginDivisor of the remaining time, at most maxRefusalMargin, so that a
// refusal at the deadline arrives before the caller gives up.
const (
	refusalMarginDivisor = 10
	maxRefusalMargin     = 50 * time.Millisecond
)

func (c *call) outgoing() *transport.Attempt {
	header := make(http.Header, len(c.request.Header)+4)
	for name, values := range c.request.Header {
		header[name] = values
	}
	header.Set(wire.HeaderRequestID, c.id)
	header.Set(wire.HeaderAttempt, strconv.Itoa(c.attempts))
	header.Del(wire.HeaderTicket)
	if c.needsTicket {
		header.Set(wire.HeaderTicket, c.ticket)
	}
	if deadline, ok := c.ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		wire.SetDeadline(header, remaining-min(remaining/refusalMarginDivisor, maxRefusalMargin))
	}
	return &transport.Attempt{Target: c.instance.ID, Address: c.instance.Address, Method: c.request.Method,
		URI: c.request.Path, Host: c.request.Host, Header: header, Body: [][]byte{c.request.Body}}
}

// retryDecision returns whether another attempt is allowed and useful after an
// error, and how long to wait before it. It sets mayHaveRun and marks failed
// instances.
func (c *call) retryDecision(err error) (retry bool, pause time.Duration) {
	var refused *refusal.Refusal
	var unprepared *prepareError
	var broken *transport.Error
	switch {
	case c.ctx.Err() != nil:
		c.mayHaveRun = c.mayHaveRun || !notRun(err)
		return false, 0
	case errors.As(err, &unprepared):
		return true, c.backOff()
	case errors.As(err, &refused):
		return c.refusalRetryDecision(refused)
	case errors.As(err, &broken) && broken.NotSent:
		// No instance received the request, so the retry does not count against the
		// retry budget.
		c.client.resolver.markFailed(c.instance.Address)
		return broken.Step != transport.StepBuild, c.backOff()
	case errors.As(err, &broken):
		// A non-idempotent request is retried with the same ticket at the same
		// instance, which runs it at most once and may have recorded the response.
		c.mayHaveRun = true
		c.client.resolver.markFailed(c.instance.Address)
		return c.client.retryBudget.withdraw(), c.backOff()
	default:
		c.mayHaveRun = true
		return false, 0
	}
}

// refusalRetryDecision is retryDecision for refusals. After an attempt that may
// have run, "not run" applies to the latest attempt only; c.attempt then keeps the
// instance and the ticket.
func (c *call) refusalRetryDecision(r *refusal.Refusal) (retry bool, pause time.Duration) {
	if r.Execution != refusal.NotRun {
		c.mayHaveRun = true
	}
	pause = max(c.backOff(), r.RetryAfter)
	switch r.Kind {
	case refusal.Leaving, refusal.StaleView: // another instance can serve the request
		c.client.resolver.markFailed(c.instance.Address)
		return r.Execution == refusal.NotRun || c.client.retryBudget.withdraw(), c.backOff()
	case refusal.TicketInvalid:
		c.client.tickets.discard(c.instance.Address)
		return !c.mayHaveRun, c.backOff() // with a new ticket the request could run a second time
	case refusal.TicketRequired:
		retry = !c.needsTicket && !c.mayHaveRun // the route is non-idempotent
		c.needsTicket = c.needsTicket || retry
		return retry, 0
	case refusal.NoTarget:
		c.client.resolver.markFailed(c.instance.Address)
		if r.Execution == refusal.NotRun && c.client.resolver.hasAlternative(c.instances, c.tried) {
			return true, 0 // the path of this instance to the targets may be lost, not that of others
		}
		return c.client.retryBudget.withdraw(), pause
	case refusal.Overload:
		return c.client.retryBudget.withdraw(), pause
	case refusal.AttemptFailed:
		return !c.needsTicket && c.client.retryBudget.withdraw(), pause
	default:
		return false, 0
	}
}

// backOff returns the exponential wait before the next attempt, with jitter.
func (c *call) backOff() time.Duration {
	mean := c.client.options.Backoff << min(max(c.attempts-1, 0), 6)
	return mean/2 + rand.N(mean)
}

// wait waits for pause. It returns false, without waiting, if the deadline would
// pass meanwhile, or when the context ends.
func (c *call) wait(pause time.Duration) bool {
	if deadline, ok := c.ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// finalError returns the error of Do for the error of the last attempt.
func (c *call) finalError(err error) error {
	var refused *refusal.Refusal
	var unprepared *prepareError
	var broken *transport.Error
	result := &Error{Step: "answer", Instance: c.instance.ID, MayHaveRun: c.mayHaveRun, Err: err}
	switch {
	case errors.As(err, &unprepared):
		result.Step, result.Err = unprepared.step, unprepared.err
	case errors.As(err, &refused):
		if refused.Execution == refusal.NotRun && c.mayHaveRun {
			// "Not run" applies to the latest attempt only, so the wrapped refusal must
			// not state it either: errors.As finds it.
			adjusted := *refused
			adjusted.Execution = refusal.MayHaveRun
			result.Step, result.Err = "resend", &adjusted
			return result
		}
		return refused
	case errors.As(err, &broken):
		result.Step = broken.Step
	}
	return result
}

// notRun reports whether an attempt's error guarantees that it was not run.
func notRun(err error) bool {
	var refused *refusal.Refusal
	var unprepared *prepareError
	var broken *transport.Error
	switch {
	case errors.As(err, &unprepared):
		return true
	case errors.As(err, &refused):
		return refused.Execution == refusal.NotRun
	default:
		return errors.As(err, &broken) && broken.NotSent
	}
}
