package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// queueShare is how many requests may wait at a target, as a share of its
	// slots. Targets queue at least twice their slots; the rest is left for
	// requests that other instances send at the same moment.
	queueShare = 1.0
	// goodFactor is the estimate, as a multiple of the plain work, up to which a
	// target of the own failure domain is taken without asking others.
	goodFactor = 1.3
	// holdShare is the share of its objective that a request of the most urgent
	// rank waits for room; each rank below waits rankShare of that.
	holdShare = 0.5
	rankShare = 0.6
)

// Choice is a target for a request.
type Choice struct {
	Target *catalog.Target
	// Factor is the expected time as a multiple of the route's work.
	Factor float64
	// Expected is the expected time until the answer.
	Expected time.Duration
	// HedgeAfter is when another target should get the request too, from the send.
	HedgeAfter time.Duration
	// Load and Age are the report that decided, for the log.
	Load Load
	Age  time.Duration
}

// Good reports whether one of the reports makes asking others needless.
func (p *Placer) Good(now time.Duration, r *Request, reports []Report) bool {
	mean := p.workOf(r.Route).mean
	for _, report := range reports {
		t := p.targets[report.Target.Incarnation()]
		if t == nil {
			continue
		}
		e := p.estimate(now, report, t, mean)
		if !e.queued && e.factor <= goodFactor && t.failureRate(now) < failureWeight/4 {
			return true
		}
	}
	return false
}

// Choose returns the best of the targets that reported, or false when none has
// room or could answer before the deadline.
func (p *Placer) Choose(now time.Duration, r *Request, reports []Report) (Choice, bool) {
	w := p.workOf(r.Route)
	var best estimate
	found := false
	for _, report := range reports {
		t := p.targets[report.Target.Incarnation()]
		if t == nil {
			continue // it left meanwhile
		}
		e := p.estimate(now, report, t, w.mean)
		if !e.room || now+e.took > r.Deadline {
			continue
		}
		if !found || e.cost(now) < best.cost(now) {
			best, found = e, true
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.target.Target, Factor: best.factor, Expected: best.took,
		HedgeAfter: p.hedgeAfter(w, best), Load: best.report.Load, Age: now - best.report.At}, true
}

// hedgeAfter is when the request is an outlier of what was expected.
func (p *Placer) hedgeAfter(w *work, e estimate) time.Duration {
	return e.took + scale(w.spread, hedgeSpreads)
}

// hedgeSpreads is the number of mean deviations above the estimate at which
// another target gets an idempotent request too.
const hedgeSpreads = 1.5

// Hold returns how long a request may wait for room before it is refused.
func (p *Placer) Hold(r *Request) time.Duration {
	share := holdShare
	for range min(r.Route.Rank, 4) {
		share *= rankShare
	}
	return scale(r.objective(), share)
}

// RetryAfter returns when a refused caller should come back: after about the
// time in which the targets complete what they run, spread so that callers do
// not return together.
func (p *Placer) RetryAfter(r *Request) time.Duration {
	mean := p.workOf(r.Route).mean
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)+1))
}
