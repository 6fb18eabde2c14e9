package configservice

import "fmt"

// Step is the step of a call that failed.
type Step string

// Steps of a call.
const (
	StepRequest Step = "request" // connecting, sending the request or reading the response head
	StepStatus  Step = "status"  // the protocol does not allow the response's status
	StepBody    Step = "body"    // the body was truncated or not read in time
	StepSize    Step = "size"    // the body is larger than MaxValueBytes
)

// SourceError is the failure of one call to the service.
type SourceError struct {
	Step Step
	// Peer is the host and port of the service.
	Peer string
	// Status is the HTTP status of the response, 0 if none was received.
	Status int
	// Err is the cause. It is nil for StepStatus.
	Err error
}

// Error returns the peer, the step, the status and the cause.
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

// Unwrap returns Err.
func (e *SourceError) Unwrap() error { return e.Err }
