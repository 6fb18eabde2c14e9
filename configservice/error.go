package configservice

import "fmt"

// Step is the part of a call at which it failed.
type Step string

// Steps of a call.
const (
	StepRequest Step = "request" // connection, request or response head
	StepStatus  Step = "status"  // a status that the protocol does not have here
	StepBody    Step = "body"    // the body ended early or took too long
	StepSize    Step = "size"    // the body is over MaxValueBytes
)

// SourceError is the failure of one call to the service.
type SourceError struct {
	Step Step
	// Peer is the host and port of the service.
	Peer string
	// Status is the HTTP status, 0 before one arrived.
	Status int
	// Err is the cause; nil for steps that need none.
	Err error
}

// Error names the step and the peer.
func (e *SourceError) Error() string {
	text := fmt.Sprintf("read from %s: %s", e.Peer, e.Step)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }
