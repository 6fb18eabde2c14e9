package tables

import "time"

// Class separates short requests from long ones, which must not delay them.
type Class string

// Classes of requests.
const (
	ClassShort Class = "short" // lookups, records, dispatches, status checks
	ClassLong  Class = "long"  // series and history queries
)

// Priority orders the waiting requests of a pool.
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

// Limits and defaults of the fields of routes. MaxNameBytes and MaxReasonBytes also
// apply to pools and targets.
const (
	DefaultDeadline    = 2 * time.Second
	MinDeadline        = time.Millisecond
	MaxDeadline        = 10 * time.Minute
	DefaultMaxAttempts = 2
	MaxAttemptsLimit   = 5
	MaxNameBytes       = 128
	MaxReasonBytes     = 512
)

// Route assigns matching requests to a pool.
type Route struct {
	// Name identifies the route in metrics and refusals. Required; unique; at most
	// 128 bytes.
	Name string `json:"name"`
	// Match selects the requests of the route.
	Match Match `json:"match"`
	// Pool is the name of the pool that serves the route. Required.
	Pool string `json:"pool"`
	// Idempotent declares that requests may safely run more than once. Default
	// false: each request runs at most once and must carry a ticket.
	Idempotent bool `json:"idempotent"`
	// Class is "short" (default) or "long".
	Class Class `json:"class"`
	// Priority is "high", "normal" (default) or "low".
	Priority Priority `json:"priority"`
	// DeadlineMillis is the deadline of requests that do not specify one, in
	// milliseconds. Default 2000, from 1 to 600000.
	DeadlineMillis int64 `json:"deadline_ms"`
	// MaxAttempts limits the attempts of a request that may have run, including the
	// first. Default 2, from 1 to 5. With 1, a request is sent only once. Above 1,
	// attempts that are proven not to have run do not count, but there are at most
	// 5 attempts in total. Non-idempotent requests are only retried if no attempt
	// may have run.
	MaxAttempts int `json:"max_attempts"`
	// Hedge allows a hedged request: a second attempt while a slow one is in flight.
	// Only allowed for idempotent routes. Default false.
	Hedge bool `json:"hedge"`
	// Closed, if set, makes the route refuse all requests and is the reason given to
	// callers. At most 512 bytes.
	Closed string `json:"closed"`
	// Limit, if set, limits the request rate of the route for the whole fleet.
	Limit *Limit `json:"limit"`
}

// Deadline returns DeadlineMillis as a duration.
func (r *Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Match selects requests. A request must match all fields that are set.
type Match struct {
	// PathPrefix is a prefix of the request path that ends at a segment boundary. It
	// must start with "/". Required.
	PathPrefix string `json:"path_prefix"`
	// Methods lists the accepted methods. Empty accepts all.
	Methods []string `json:"methods"`
	// Host is the accepted host name, without port. Empty accepts all.
	Host string `json:"host"`
}

// Limit is a rate limit that an operator sets for a route.
type Limit struct {
	// PerSecond is the rate that the whole fleet accepts, in requests per second.
	// Above 0.
	PerSecond float64 `json:"per_second"`
	// Reason is given to refused callers. Required; at most 512 bytes.
	Reason string `json:"reason"`
}
