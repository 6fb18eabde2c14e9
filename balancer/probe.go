package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Outcome is the outcome of an attempt.
type Outcome uint8

// Outcomes.
const (
	OutcomeOK        Outcome = iota // a response with a status below 500
	OutcomeError                    // a response of the target with a status of 500 or above
	OutcomeShed                     // the target reported that it did not run the request
	OutcomeNotSent                  // no byte of the request was sent
	OutcomeBroken                   // the connection ended after the request was sent
	OutcomeCanceled                 // cancelled by the caller or superseded by another attempt
	OutcomeTruncated                // the response body ended early
)

// Report is the load and state that a target reported about itself.
type Report struct {
	Load    wire.Load
	HasLoad bool
	State   wire.TargetState
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	// Target is the target's name.
	Target string
	// Sent is when the probe was sent, as a duration since the instance's
	// start.
	Sent time.Duration
	// OK is false when the probe failed or timed out.
	OK bool
	// Report is valid if OK is true.
	Report Report
}

// String returns the name of the outcome as used in metrics and events.
func (o Outcome) String() string {
	return [...]string{"ok", "error", "shed", "not-sent", "broken", "canceled", "truncated"}[o]
}
