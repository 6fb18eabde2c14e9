package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Request describes a caller's request for the choice of a target.
type Request struct {
	Route   *catalog.Route
	Service string
	// Arrived is when the request was received, Deadline the time after which its
	// response is of no use.
	Arrived, Deadline time.Duration
	// Tried lists the targets that the request was already sent to. They are not
	// chosen again.
	Tried []catalog.Incarnation
	// CallerTimeout is the time that the caller states to have left, 0 if it states none.
	CallerTimeout time.Duration
	// routeLimited is set by Offer if its service is short of room and some requests of its
	// route are turned away.
	routeLimited bool
}

// objective returns the route's objective or, if it has none, half of the time
// between arrival and deadline.
func (r *Request) objective() time.Duration {
	if r.Route.Objective > 0 {
		return r.Route.Objective
	}
	return (r.Deadline - r.Arrived) / 2
}

// maxUrgentRank is the rank of the least urgent routes whose requests are urgent.
const maxUrgentRank = 1

// Urgent reports whether the request may use the slots above a target's saturation
// point, and the whole retry budget for its retries, while its service has room.
func (r *Request) Urgent() bool { return r.Route.Rank <= maxUrgentRank }
