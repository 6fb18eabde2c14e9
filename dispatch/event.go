package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// RequestID identifies a request inside one Scheduler.
type RequestID uint64

// AttemptID identifies one attempt of a request inside one Scheduler.
type AttemptID uint64

// Request describes a request to the Scheduler.
type Request struct {
	ID         RequestID
	Class      tables.Class
	Priority   tables.Priority
	Idempotent bool
	// Hedge allows a hedged attempt while the first one is slow to respond.
	Hedge bool
	// MaxAttempts bounds the attempts, including the first. It is clamped to
	// 1 through tables.MaxAttemptsLimit.
	MaxAttempts int
	// Attempt is the attempt number that the caller gave; 1 is its first try.
	Attempt int
	// Deadline is the time since the instance's start by which the response must
	// have arrived.
	Deadline time.Duration
}

// Response is the head of a target's response. The body may still follow.
type Response struct {
	Outcome balancer.Outcome // OutcomeOK, OutcomeError or OutcomeShed
	Report  balancer.Report
}

// End reports that an attempt has ended. Every attempt ends exactly once, after
// its Response if it had one, and also when it was discarded or cancelled.
type End struct {
	// Outcome is OutcomeOK if a response was received completely.
	Outcome balancer.Outcome
}

// Fleet describes the instances of the fleet.
type Fleet = balancer.Fleet

// ActionKind is the kind of an Action.
type ActionKind uint8

// Action kinds.
const (
	ActionSend    ActionKind = iota // send Attempt to Target
	ActionAccept                    // forward the response of Attempt to the caller
	ActionDiscard                   // drop the response of Attempt
	ActionCancel                    // cancel Attempt; its End must still be reported
	ActionRefuse                    // answer the caller with a refusal
	ActionProbe                     // probe Target
)

// Action is one step for a handler or the Task to perform. Which fields are set
// depends on Kind.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt AttemptID
	// Target and Address are the name and address of the target to send to or
	// probe.
	Target, Address string
	// AttemptNumber is the attempt number to send to the target.
	AttemptNumber int
	// Expires is the latest time at which writing the attempt may start. Zero
	// means no limit.
	Expires time.Duration
	// Hedge marks a hedged attempt.
	Hedge bool
	// Refusal, Execution, Reason and RetryAfter describe a refusal.
	Refusal    refusal.Kind
	Execution  refusal.Execution
	Reason     string
	RetryAfter time.Duration
}
