package entry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// burstWindow is the time whose share of a route's limit may arrive at once.
const burstWindow = 200 * time.Millisecond

// limitRetryAfter is the mean time after which a caller refused by a limit tries again.
const limitRetryAfter = time.Second

// Limiters hold this instance's share of the operators' limits, by route.
type Limiters map[string]*rate.Limiter

// NewLimiters divides the limits of a document by the number of instances that
// serve callers, at least one. Instances that do not know of each other, as in
// a partition, admit more than the limit together.
func NewLimiters(d *tables.Document, instances int) Limiters {
	limiters := make(Limiters)
	for i := range d.Routes {
		if limit := d.Routes[i].Limit; limit != nil {
			share := limit.PerSecond / float64(max(1, instances))
			limiters[d.Routes[i].Name] = rate.NewLimiter(rate.Limit(share), max(1, int(share*burstWindow.Seconds())))
		}
	}
	return limiters
}

// limitRefusal returns the operator's refusal of a request over the route's limit.
func (l Limiters) limitRefusal(route *tables.Route) *refusal.Refusal {
	limiter := l[route.Name]
	if limiter == nil || limiter.Allow() {
		return nil
	}
	r := refusal.New(refusal.RouteLimited, route.Limit.Reason)
	r.RetryAfter = limitRetryAfter/2 + rand.N(limitRetryAfter)
	return r
}
