package checker

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Evidence is the input of Check: all records of one run of the system. All times
// are from the same clock.
type Evidence struct {
	Calls    []Call
	Runs     []Run
	Leaving  []Leaving
	Versions []Version
	Edits    []Edit
	Budgets  []Budget
	// AbortedRequests counts the requests that planned stops aborted.
	AbortedRequests int
	// PlannedStops counts the planned stops of instances and targets.
	PlannedStops int
	// EndedAt is the end of the run.
	EndedAt time.Time
}

// Outcome is the kind of result that a caller received.
type Outcome string

// Outcomes of a call.
const (
	Responded Outcome = "answered" // a response from a target, with any status
	Refused   Outcome = "refused"
	Failed    Outcome = "failed" // a broken connection or a truncated response
)

// Call is one request of a caller, including its retries.
type Call struct {
	RequestID  string
	Idempotent bool
	Start, End time.Time
	Outcome    Outcome
	// Status is the HTTP status of a response with Outcome Responded.
	Status int
	// ResponseCorrect is true when the response was complete and for this request.
	ResponseCorrect bool
	// Kind and Execution describe a refusal. Execution is also set for failures.
	Kind      refusal.Kind
	Execution refusal.Execution
	// Reason is the reason text of a refusal, or the error of a failure.
	Reason string
}

// Run is one execution of a request at a target.
type Run struct {
	Target    string
	RequestID string
	Start     time.Time
}

// Leaving records that a target began to leave.
type Leaving struct {
	Target string
	At     time.Time
}

// Version records that an instance put a configuration in force.
type Version struct {
	Instance, Incarnation string
	Version               uint64
	At                    time.Time
}

// Edit is the publication of a valid configuration whose version is higher than all
// before it.
type Edit struct {
	Version uint64
	At      time.Time
	// Instances are the identifiers of the instances that must put this version, or
	// a higher one, in force.
	Instances []string
}

// Budget is the number of probes that the targets of one pool received, with the
// figures that determine their allowance.
type Budget struct {
	Pool             string
	Probes, Requests int64
	Targets          int
	Elapsed          time.Duration
	// PerRequest and PerTargetPerSecond are the allowances of probes with requests;
	// both apply.
	PerRequest, PerTargetPerSecond float64
	// IdlePerTargetPerSecond is the additional allowance of probes without requests.
	IdlePerTargetPerSecond float64
}
