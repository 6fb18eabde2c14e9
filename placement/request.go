package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Request is what a decision needs to know of a caller's request.
type Request struct {
	Route   *catalog.Route
	Service string
	// Arrived is when the request was received, Deadline when its answer has no
	// more use.
	Arrived, Deadline time.Duration
	// Tried are the targets that have got it, which are not asked again.
	Tried []catalog.Incarnation
}

// objective returns the route's objective, or half of the time that the caller
// gives when there is none.
func (r *Request) objective() time.Duration {
	if r.Route.Objective > 0 {
		return r.Route.Objective
	}
	return (r.Deadline - r.Arrived) / 2
}

// maxUrgentRank is the rank up to which requests are urgent.
const maxUrgentRank = 1

// Urgent reports whether the request may use the slots above a target's knee
// while it is in time, and the whole budget of repeats.
func (r *Request) Urgent() bool { return r.Route.Rank <= maxUrgentRank }
