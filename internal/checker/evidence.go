package checker

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Evidence is everything that one run of the system has recorded. Times are on
// one clock.
type Evidence struct {
	Calls    []Call
	Runs     []Run
	Leaving  []Leaving
	Versions []Version
	Edits    []Edit
	Budgets  []Budget
	// AbortedRequests counts requests that planned stops cut off.
	AbortedRequests int
	// PlannedStops counts planned stops of instances and targets.
	PlannedStops int
	// EndedAt is when the run ended.
	EndedAt time.Time
}

// Outcome is what a caller got.
type Outcome string

// Outcomes of a call.
const (
	Responded Outcome = "answered" // a target's own answer
	Refused   Outcome = "refused"
	Failed    Outcome = "failed" // a broken connection or a truncated answer
)

// Call is one request of a caller, resends included.
type Call struct {
	RequestID  string
	Idempotent bool
	Start, End time.Time
	Outcome    Outcome
	// Status is the HTTP status of an answer.
	Status int
	// ResponseCorrect is true when the answer was complete and answered this request.
	ResponseCorrect bool
	// Kind and Execution describe a refusal. Execution is also set for failures.
	Kind      refusal.Kind
	Execution refusal.Execution
	// Reason of a refusal.
	Reason string
}

// Run is one execution at a target.
type Run struct {
	Target    string
	RequestID string
	Start     time.Time
}

// Leaving says that a target began to leave.
type Leaving struct {
	Target string
	At     time.Time
}

// Version says that an instance put a configuration in force.
type Version struct {
	Instance, Incarnation string
	Version               uint64
	At                    time.Time
}

// Edit is an operator's publication of a version that is valid and higher than
// all before it.
type Edit struct {
	Version uint64
	At      time.Time
	// Instances have to put it, or a higher one, in force.
	Instances []string
}

// Budget compares the probes that targets of one pool received with their
// allowance.
type Budget struct {
	Pool                           string
	Probes, Requests               int64
	Targets                        int
	Elapsed                        time.Duration
	PerRequest, PerTargetPerSecond float64
	// IdlePerTargetPerSecond is the allowance of probes without requests.
	IdlePerTargetPerSecond float64
}
