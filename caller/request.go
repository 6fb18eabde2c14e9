package caller

import (
	"fmt"
	"net/http"
	"time"
)

// Request is one request of a caller. It is not changed by Do.
type Request struct {
	Method string
	// Path is the path with the query.
	Path string
	// Host selects among routes that match by host. Empty: the instance's address.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent says that running the request twice does no harm. It is then
	// sent without a ticket at first. When its route says otherwise, it is
	// handled as non-idempotent.
	Idempotent bool
	// Deadline is the time within which the answer is needed. Zero: that of the
	// context, or Options.Timeout.
	Deadline time.Duration
}

// Response is a target's own answer, whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RequestID identifies the request in logs of instances and targets.
	RequestID string
	// Instance is the identifier of the instance that passed the answer on.
	Instance string
	// Attempts is the number of sends.
	Attempts int
}

// Error is a request without an answer and without a final refusal.
type Error struct {
	// Step is where the last attempt failed.
	Step string
	// Instance is the identifier of the instance, if one was chosen.
	Instance string
	// MayHaveRun is false only when no attempt can have been run.
	MayHaveRun bool
	Err        error
}

// Error describes the failure.
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
