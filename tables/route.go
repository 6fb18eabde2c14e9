package tables

import "time"

// Class separates short work from long work that must not delay it.
type Class string

// Classes of work.
const (
	ClassShort Class = "short" // lookups, records, dispatches, status checks
	ClassLong  Class = "long"  // series and history queries
)

// Priority orders waiting requests of a pool.
type Priority string

// Priorities, highest first.
const (
	PriorityHigh   Priority = "high"   // dispatches and price records
	PriorityNormal Priority = "normal" // lookups and status checks
	PriorityLow    Priority = "low"    // series and history
)

// Rank returns 0 for the highest priority and 2 for the lowest.
func (p Priority) Rank() int {
	switch p {
	case PriorityHigh:
		return 0
	case PriorityLow:
		return 2
	default:
		return 1
	}
}

// Bounds and defaults of route fields.
const (
	DefaultDeadline    = 2 * time.Second
	MinDeadline        = time.Millisecond
	MaxDeadline        = 10 * time.Minute
	DefaultMaxAttempts = 2
	MaxAttemptsLimit   = 5
	MaxNameBytes       = 128
	MaxReasonBytes     = 512
)

// Route sends matching requests to a pool.
type Route struct {
	// Name identifies the route in metrics and refusals. Unique, at most 128 bytes.
	Name string `json:"name"`
	// Match decides which requests the route takes.
	Match Match `json:"match"`
	// Pool names the pool that serves the route.
	Pool string `json:"pool"`
	// Idempotent says that running a request twice does no harm. Default false:
	// each request then runs at most once and must carry a ticket.
	Idempotent bool `json:"idempotent"`
	// Class is "short" (default) or "long".
	Class Class `json:"class"`
	// Priority is "high", "normal" (default) or "low".
	Priority Priority `json:"priority"`
	// DeadlineMillis is the deadline of requests that bring none, in
	// milliseconds. Default 2000, from 1 to 600000.
	DeadlineMillis int64 `json:"deadline_ms"`
	// MaxAttempts bounds the sends of one idempotent request, the first
	// included. Default 2, from 1 to 5. Non-idempotent requests are sent again
	// only when the target said that it did not run them. Above 1, sends that are
	// proven not to have run do not count, up to 5 sends in all.
	MaxAttempts int `json:"max_attempts"`
	// Hedge allows a second attempt while a slow one is in flight. Only for
	// idempotent routes. Default false.
	Hedge bool `json:"hedge"`
	// Closed refuses every request with this reason of the operator, when set.
	Closed string `json:"closed"`
	// Limit bounds the rate of the route over the whole fleet, when set.
	Limit *Limit `json:"limit"`
}

// Deadline returns the route's default deadline.
func (r *Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Match selects requests. All fields that are set must match.
type Match struct {
	// PathPrefix is compared with the start of the request path, at segment
	// borders. Must start with "/".
	PathPrefix string `json:"path_prefix"`
	// Methods lists the accepted methods. Empty accepts all.
	Methods []string `json:"methods"`
	// Host is compared with the request's host name without port. Empty accepts all.
	Host string `json:"host"`
}

// Limit is an operator's bound on a route.
type Limit struct {
	// PerSecond is the rate accepted over the whole fleet, in requests per second. Above 0.
	PerSecond float64 `json:"per_second"`
	// Reason is shown to refused callers. Required.
	Reason string `json:"reason"`
}
