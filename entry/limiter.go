package entry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// burstWindow determines the burst size: the requests that a route's limit allows
// in this time may arrive at once.
const burstWindow = 200 * time.Millisecond

// limitRetryAfter is the mean Retry-After time of requests refused by a limit.
const limitRetryAfter = time.Second

// Limiters holds this instance's share of the operator's request rate limits, by
// route name.
type Limiters map[string]*rate.Limiter

// NewLimiters divides the limits of a document by the number of instances that
// serve callers; values below 1 count as 1. Instances that do not see each other,
// as in a network partition, can admit more than the limit together.
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

// limitRefusal returns a refusal with the operator's reason if the request exceeds
// the route's limit, or nil. Its Retry-After time is random, so that refused
// callers do not retry at the same time.
func (l Limiters) limitRefusal(route *tables.Route) *refusal.Refusal {
	limiter := l[route.Name]
	if limiter == nil || limiter.Allow() {
		return nil
	}
	r := refusal.New(refusal.RouteLimited, route.Limit.Reason)
	r.RetryAfter = limitRetryAfter/2 + rand.N(limitRetryAfter)
	return r
}
