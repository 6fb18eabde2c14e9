package refusal

import "net/http"

// Kind is the cause of a refusal.
type Kind string

// Kinds of refusals that an operator configures in the tables.
const (
	RouteClosed  Kind = "route-closed"
	PoolClosed   Kind = "pool-closed"
	RouteLimited Kind = "route-limited"
)

// Kinds of refusals that the program decides on.
const (
	Overload       Kind = "overload"        // the request cannot be served in time or exceeds a capacity limit
	Deadline       Kind = "deadline"        // the deadline of the request has passed
	NoTarget       Kind = "no-target"       // no target can accept the request
	SuspectedCrash Kind = "suspected-crash" // the request is suspected of crashing targets
	UnknownRoute   Kind = "unknown-route"   // no route matches the request
	BadRequest     Kind = "bad-request"     // a header, the path or the body is malformed or not supported
	TooLarge       Kind = "too-large"       // the request body exceeds the size limit
	Leaving        Kind = "leaving"         // the instance is shutting down
	StaleView      Kind = "stale-view"      // the instance was paused or has no configuration
	TicketRequired Kind = "ticket-required" // the route is not idempotent and the request has no ticket
	TicketInvalid  Kind = "ticket-invalid"  // the ticket is not valid at this instance
	AlreadyRun     Kind = "already-run"     // the ticket was used before
	AttemptFailed  Kind = "attempt-failed"  // the attempt failed before a whole response was received
)

// Status returns the HTTP status code of refusals of the kind.
func (k Kind) Status() int {
	switch k {
	case UnknownRoute:
		return http.StatusNotFound
	case BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case TicketRequired:
		return http.StatusPreconditionRequired
	case TicketInvalid, AlreadyRun:
		return http.StatusConflict
	case SuspectedCrash:
		return http.StatusUnprocessableEntity
	case RouteLimited:
		return http.StatusTooManyRequests
	case Deadline:
		return http.StatusGatewayTimeout
	case AttemptFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// By returns who decides on refusals of the kind.
func (k Kind) By() By {
	switch k {
	case RouteClosed, PoolClosed, RouteLimited:
		return ByPerson
	default:
		return ByProgram
	}
}

// By identifies who refused a request.
type By string

// Sources of a refusal: the operator's tables, or the program.
const (
	ByPerson  By = "person"
	ByProgram By = "program"
)

// Execution states whether a target ran the refused request.
type Execution string

// Values of Execution. MayHaveRun is used whenever NotRun cannot be guaranteed.
const (
	NotRun     Execution = "not-run"
	MayHaveRun Execution = "may-have-run"
)
