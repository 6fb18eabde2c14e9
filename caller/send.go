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

// sending is one call of Do.
type sending struct {
	client  *Client
	ctx     context.Context
	request *Request
	id      string
	// once is set for a non-idempotent request, which carries a ticket.
	once     bool
	instance entry.ResolvedInstance
	ticket   string
	attempts int // sends so far
	tried    map[string]bool
	// mayHaveRun is set when an earlier attempt may have been run.
	mayHaveRun bool
}

// run sends until there is an answer, or another attempt is of no use.
func (s *sending) run() (*Response, error) {
	for {
		answer, err := s.attempt()
		if err == nil {
			return answer, nil
		}
		again, pause := s.judge(err)
		if !again || s.attempts >= s.client.options.MaxAttempts || !s.wait(pause) {
			return nil, s.final(err)
		}
	}
}

// attempt sends the request once.
func (s *sending) attempt() (*Response, error) {
	if s.ticket == "" || !s.mayHaveRun { // otherwise the same ticket goes to the same instance
		if err := s.prepare(); err != nil {
			s.attempts++
			return nil, err
		}
	}
	s.attempts++
	response, err := s.client.transport.Do(s.ctx, s.outgoing())
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if refused := refusal.Parse(response); refused != nil {
		return nil, refused
	}
	if response.Header.Get(wire.HeaderAnsweredBy) != wire.AnsweredByTarget {
		return nil, errors.Errorf("status %d is neither a target's answer nor a refusal", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, s.client.options.MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > s.client.options.MaxResponseBytes {
		return nil, errAnswerTooLarge
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: text, RequestID: s.id,
		Instance: s.instance.ID, Attempts: s.attempts}, nil
}

var errAnswerTooLarge = errors.New("the answer is over the limit")

// prepareError is a failure before the request was sent.
type prepareError struct {
	step string
	err  error
}

func (e *prepareError) Error() string { return e.step + ": " + e.err.Error() }
func (e *prepareError) Unwrap() error { return e.err }

// prepare chooses an instance and, for a non-idempotent request, a ticket.
func (s *sending) prepare() error {
	answer, err := s.client.resolver.get(s.ctx)
	if err != nil {
		return &prepareError{"resolve", err}
	}
	s.instance = s.client.resolver.choose(answer.Instances, s.tried)
	s.tried[s.instance.Address] = true
	if !s.once {
		return nil
	}
	s.ticket, err = s.client.stock.take(s.ctx, s.instance.Address)
	if err != nil {
		s.client.resolver.failed(s.instance.Address)
		return &prepareError{"get tickets", err}
	}
	return nil
}

// The instance gets a little less time than this caller has, so that a refusal
// at the deadline arrives before the caller gives up and learns nothing.
const (
	refusalPart      = 10
	maxRefusalMargin = 50 * time.Millisecond
)

func (s *sending) outgoing() *transport.Attempt {
	header := make(http.Header, len(s.request.Header)+4)
	for name, values := range s.request.Header {
		header[name] = values
	}
	header.Set(wire.HeaderRequestID, s.id)
	header.Set(wire.HeaderAttempt, strconv.Itoa(s.attempts))
	header.Del(wire.HeaderTicket)
	if s.once {
		header.Set(wire.HeaderTicket, s.ticket)
	}
	if deadline, ok := s.ctx.Deadline(); ok {
		left := time.Until(deadline)
		wire.SetDeadline(header, left-min(left/refusalPart, maxRefusalMargin))
	}
	return &transport.Attempt{Target: s.instance.ID, Address: s.instance.Address, Method: s.request.Method,
		URI: s.request.Path, Host: s.request.Host, Header: header, Body: s.request.Body}
}

// judge tells whether another attempt is allowed and useful, and how long to
// wait before it.
func (s *sending) judge(err error) (again bool, pause time.Duration) {
	var refused *refusal.Refusal
	var unprepared *prepareError
	var broken *transport.Error
	switch {
	case s.ctx.Err() != nil:
		s.mayHaveRun = s.mayHaveRun || !notRun(err)
		return false, 0
	case errors.As(err, &unprepared):
		return true, s.backOff()
	case errors.As(err, &refused):
		return s.judgeRefusal(refused)
	case errors.As(err, &broken) && broken.NotSent:
		// No instance has the request, so this is no retry in the sense of the budget.
		s.client.resolver.failed(s.instance.Address)
		return broken.Step != transport.StepBuild, s.backOff()
	case errors.As(err, &broken):
		// For a non-idempotent request the same ticket goes to the same instance,
		// which runs it once at most and may still have the answer.
		s.mayHaveRun = true
		s.client.resolver.failed(s.instance.Address)
		return s.client.budget.retry(), s.backOff()
	default:
		s.mayHaveRun = true
		return false, 0
	}
}

// judgeRefusal is judge for refusals. After an attempt that may have run, "not
// run" speaks of the last send only; s.attempt then keeps instance and ticket.
func (s *sending) judgeRefusal(r *refusal.Refusal) (again bool, pause time.Duration) {
	if r.Execution != refusal.NotRun {
		s.mayHaveRun = true
	}
	pause = max(s.backOff(), r.RetryAfter)
	switch r.Kind {
	case refusal.Leaving, refusal.StaleView: // another instance can serve it
		s.client.resolver.failed(s.instance.Address)
		return r.Execution == refusal.NotRun || s.client.budget.retry(), s.backOff()
	case refusal.TicketInvalid:
		s.client.stock.drop(s.instance.Address)
		return !s.mayHaveRun, s.backOff() // a fresh ticket could run it a second time
	case refusal.TicketRequired:
		again = !s.once && !s.mayHaveRun // the route is not idempotent
		s.once = s.once || again
		return again, 0
	case refusal.Overload, refusal.NoTarget:
		return s.client.budget.retry(), pause
	case refusal.AttemptFailed:
		return !s.once && s.client.budget.retry(), pause
	default:
		return false, 0
	}
}

// backOff returns the jittered time before the next attempt.
func (s *sending) backOff() time.Duration {
	mean := s.client.options.Backoff << min(max(s.attempts-1, 0), 6)
	return mean/2 + rand.N(mean)
}

// wait pauses, and returns false when the deadline would pass meanwhile.
func (s *sending) wait(pause time.Duration) bool {
	if deadline, ok := s.ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// final makes the error that the caller sees.
func (s *sending) final(err error) error {
	var refused *refusal.Refusal
	var unprepared *prepareError
	var broken *transport.Error
	result := &Error{Step: "answer", Instance: s.instance.ID, MayHaveRun: s.mayHaveRun, Err: err}
	switch {
	case errors.As(err, &unprepared):
		result.Step, result.Err = unprepared.step, unprepared.err
	case errors.As(err, &refused):
		if refused.Execution == refusal.NotRun && s.mayHaveRun {
			// "Not run" is true of the last send only, and must not be found by
			// errors.As either.
			told := *refused
			told.Execution = refusal.MayHaveRun
			result.Step, result.Err = "resend", &told
			return result
		}
		return refused
	case errors.As(err, &broken):
		result.Step = broken.Step
	}
	return result
}

// notRun reports whether an attempt's error says that it was not run.
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
