package load

import (
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Kind is a kind of request that callers send.
type Kind string

// Kinds of requests.
const (
	Lookup  Kind = "lookup"  // short, idempotent, hedged
	Record  Kind = "record"  // short, not idempotent, priority high
	History Kind = "history" // long, idempotent, priority low
)

// Kinds lists all kinds.
var Kinds = []Kind{Lookup, Record, History}

// KindOf returns the kind of request to send for an arrival.
func KindOf(a *replay.Arrival) Kind {
	switch {
	case a.Class == tables.ClassLong:
		return History
	case !a.Idempotent:
		return Record
	default:
		return Lookup
	}
}

func (k Kind) idempotent() bool { return k != Record }

func (k Kind) method() string {
	if k == Record {
		return http.MethodPost
	}
	return http.MethodPut // idempotent, and may have a body
}

// path returns the request path of the kind for a pool.
func (k Kind) path(pool string) string { return "/" + pool + "/" + string(k) }

const (
	// routeDeadline applies only to requests without a deadline of their own. The
	// requests of this package have one.
	routeDeadline = 10 * time.Second
	// routeAttempts equals the maximum number of attempts in package replay, so that
	// live and replayed runs are comparable.
	routeAttempts = 3
)

// RouteName returns the name of the route of a kind to a pool.
func RouteName(pool string, k Kind) string { return pool + "-" + string(k) }

// Routes returns the routes to a pool, one for each kind.
func Routes(pool string) []tables.Route {
	var routes []tables.Route
	for _, k := range Kinds {
		route := tables.Route{Name: RouteName(pool, k), Match: tables.Match{PathPrefix: k.path(pool)}, Pool: pool,
			Idempotent: k.idempotent(), Class: tables.ClassShort, Priority: tables.PriorityNormal,
			DeadlineMillis: routeDeadline.Milliseconds(), MaxAttempts: routeAttempts, Hedge: k == Lookup}
		switch k {
		case Record:
			route.Priority = tables.PriorityHigh
		case History:
			route.Class, route.Priority = tables.ClassLong, tables.PriorityLow
		}
		routes = append(routes, route)
	}
	return routes
}
