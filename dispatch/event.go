package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// RequestID identifies a request inside one Scheduler.
type RequestID uint64

// AttemptID identifies one send of a request inside one Scheduler.
type AttemptID uint64

// Request is what the decisions need to know of a request.
type Request struct {
	ID         RequestID
	Class      tables.Class
	Priority   tables.Priority
	Idempotent bool
	// Hedge allows a second attempt beside a slow one.
	Hedge bool
	// MaxAttempts bounds the sends, the first included. At least 1.
	MaxAttempts int
	// Attempt is the number that the caller gave, 1 for its first.
	Attempt int
	// Deadline is the time by which the answer must have arrived.
	Deadline time.Duration
}

// Answer is the head of a target's answer.
type Answer struct {
	Outcome balancer.Outcome // OutcomeOK, OutcomeError or OutcomeShed
	Report  balancer.Report
}

// End is the end of an attempt. Every attempt ends exactly once, after its
// Answer if it had one, also when it was discarded or cancelled.
type End struct {
	// Outcome is OutcomeOK after an answer that was received whole.
	Outcome balancer.Outcome
}

// Fleet is what is known of the instances.
type Fleet = balancer.Fleet

// ActionKind tells what an Action asks for.
type ActionKind uint8

// Action kinds.
const (
	ActionSend    ActionKind = iota // start Attempt at Target
	ActionAccept                    // pass the answer of Attempt to the caller
	ActionDiscard                   // drop the answer of Attempt
	ActionCancel                    // cancel Attempt; its End still follows
	ActionRefuse                    // answer the caller with a refusal
	ActionProbe                     // probe Target
)

// Action is one decision. Which fields are set depends on Kind.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt AttemptID
	// Target and Address say where to send or probe.
	Target, Address string
	// AttemptNumber is the attempt number to send along.
	AttemptNumber int
	// Expires is the latest time at which the attempt may be written. Zero: no limit.
	Expires time.Duration
	// Hedge marks a second attempt beside a slow one.
	Hedge bool
	// Refusal, Execution, Reason and RetryAfter describe a refusal.
	Refusal    refusal.Kind
	Execution  refusal.Execution
	Reason     string
	RetryAfter time.Duration
}
