package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// maxGoodSlowdown is the estimate, as a multiple of the plain work, up to which a
	// target is taken without asking others, and for a hedge.
	maxGoodSlowdown = 1.3
	// maxGoodFailureRate is the rate of recent failures from which a target is not good.
	maxGoodFailureRate = 0.1
	// callerRoundTrip is the way to the caller and back, which counts for its objective.
	callerRoundTrip = 6 * time.Millisecond
	// lateWaitShare is how long a late request looks for room, as a share of its objective.
	lateWaitShare = 0.3
)

// Requirement is what a choice demands of a target.
type Requirement int

// Urgencies, from the strictest demand to the least strict.
const (
	// RequireIdle asks for a target that is idle and fast, as for a hedge.
	RequireIdle Requirement = iota
	// RequireObjective asks for an answer within the objective.
	RequireObjective
	// RequireDeadline asks for an answer before the deadline.
	RequireDeadline
)

// Choice is a target for a request.
type Choice struct {
	Target *catalog.Target
	// Slowdown is the expected time as a multiple of the route's work.
	Slowdown float64
	// AboveSaturation is true when the target runs more than it can at full speed.
	AboveSaturation bool
	// Expected is the expected time until the answer.
	Expected time.Duration
	// HedgeAfter is when another target should get the request too, from the send.
	HedgeAfter time.Duration
	// Load and Age are the report that decided, for the log.
	Load Load
	Age  time.Duration
}

// HasGoodTarget reports whether one of the reports makes asking others needless.
func (p *Placer) HasGoodTarget(now time.Duration, r *Request, reports []Report) bool {
	mean := p.workOf(r.Route).mean
	for _, report := range reports {
		if t := p.targets[report.Target.Incarnation()]; t != nil {
			if e := p.estimate(now, report, t, mean); e.isGood(now) {
				return true
			}
		}
	}
	return false
}

// isGood reports whether the target is idle and fast.
func (e *estimate) isGood(now time.Duration) bool {
	return e.occupied <= e.saturation && e.slowdown <= maxGoodSlowdown && e.target.failureRate(now) < maxGoodFailureRate
}

// Requirement returns what the request demands of its first target now: an answer
// within the objective while that is possible.
func (p *Placer) Requirement(now time.Duration, r *Request) Requirement {
	if now+p.workOf(r.Route).mean+callerRoundTrip > r.Arrived+r.objective() {
		return RequireDeadline
	}
	return RequireObjective
}

// satisfies reports whether a target fulfils the demand.
func (e *estimate) satisfies(now time.Duration, r *Request, requirement Requirement) bool {
	if now+e.duration > r.Deadline {
		return false
	}
	// Also late requests stay below the knee: above it they would slow down those
	// that are in time, and a crest would not end.
	limit := e.saturation
	if r.Urgent() {
		limit = e.slots
	}
	switch requirement {
	case RequireIdle:
		return e.isGood(now)
	case RequireObjective:
		return e.occupied <= limit && now+e.duration+callerRoundTrip <= r.Arrived+r.objective()
	default:
		return e.occupied <= limit
	}
}

// Choose returns the best of the targets that reported and fulfil the demand.
func (p *Placer) Choose(now time.Duration, r *Request, reports []Report, requirement Requirement) (Choice, bool) {
	w := p.workOf(r.Route)
	var best estimate
	found := false
	for _, report := range reports {
		t := p.targets[report.Target.Incarnation()]
		if t == nil {
			continue // it left meanwhile
		}
		e := p.estimate(now, report, t, w.mean)
		if e.satisfies(now, r, requirement) && (!found || e.cost(now) < best.cost(now)) {
			best, found = e, true
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.target.Target, Slowdown: best.slowdown, Expected: best.duration, AboveSaturation: best.occupied > best.saturation,
		HedgeAfter: p.hedgeAfter(now, r, w, best), Load: best.report.Load, Age: now - best.report.At}, true
}

// hedgeAfter is when the request is an outlier of what was expected, or, if
// that is earlier, the last moment from which another target can answer within
// the objective.
func (p *Placer) hedgeAfter(now time.Duration, r *Request, w *routeWork, e estimate) time.Duration {
	outlier := e.duration + scale(w.deviation, hedgeDeviations)
	latest := r.Arrived + r.objective() - callerRoundTrip - scale(w.mean, hedgeMargin) - now
	if latest > e.duration {
		return min(outlier, latest)
	}
	return outlier
}

const (
	// hedgeDeviations is the number of mean deviations above the estimate at which
	// another target gets an idempotent request too.
	hedgeDeviations = 1.5
	// hedgeMargin is the time that the other target is given, as a multiple of
	// the mean work.
	hedgeMargin = 1.2
)

// MaxWait returns how long a request may wait for room before it is refused: as
// long as it can be answered within its objective, and a while longer.
func (p *Placer) MaxWait(r *Request) time.Duration {
	waitWithinObjective := r.objective() - p.workOf(r.Route).mean - callerRoundTrip
	return max(0, waitWithinObjective) + scale(r.objective(), lateWaitShare)
}

// rejectedRetryDelay is the mean time after which a caller should come back when
// targets rejected its request although they had room: another one may take it.
const rejectedRetryDelay = 30 * time.Millisecond

// RetryAfter returns when a refused caller should come back, spread so that
// callers do not return together: soon after a rejection, otherwise after about
// the time in which the targets complete what they run.
func (p *Placer) RetryAfter(r *Request, rejected bool) time.Duration {
	mean := p.workOf(r.Route).mean
	if rejected {
		mean = rejectedRetryDelay
	}
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)+1))
}
