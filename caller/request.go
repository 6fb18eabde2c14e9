package caller

import (
	"fmt"
	"net/http"
	"time"
)

// Request is a request to be sent by Do, which does not modify it.
type Request struct {
	Method string
	// Path is the path including the query.
	Path string
	// Host is the value of the Host header, by which routes may match. Empty: the
	// instance's address.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent is true if the request may safely run more than once. It is then
	// sent without a ticket. If its route turns out to be non-idempotent, the
	// request is handled as non-idempotent.
	Idempotent bool
	// Deadline is the time limit of the request, including retries. Zero: the
	// deadline of the context, or else Options.Timeout.
	Deadline time.Duration
}

// Response is the whole response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID identifies the request in logs of instances and targets.
	RequestID string
	// Instance is the identifier of the instance that forwarded the response.
	Instance string
	// Attempts is the number of attempts, including the successful one.
	Attempts int
}

// Error is the failure of a request that ended with neither a response nor a
// refusal that applies to all of its attempts.
type Error struct {
	// Step is the step at which the last attempt failed.
	Step string
	// Instance is the identifier of the instance that was chosen last, if any.
	Instance string
	// MayHaveRun is false only if no target has run the request and none will.
	MayHaveRun bool
	Err        error
}

// Error returns the step, the instance, whether the request may have run, and the
// cause.
func (e *Error) Error() string {
	execution := "not run"
	if e.MayHaveRun {
		execution = "may have run"
	}
	if e.Instance == "" {
		return fmt.Sprintf("%s (%s): %v", e.Step, execution, e.Err)
	}
	return fmt.Sprintf("%s, instance %s (%s): %v", e.Step, e.Instance, execution, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
