package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// maxGoodSlowdown is the slowdown up to which a target is chosen without
	// probing further targets, and may receive a hedged request.
	maxGoodSlowdown = 1.3
	// maxGoodFailureRate is the failure rate from which a target is no longer good.
	maxGoodFailureRate = 0.1
	// callerRoundTrip is the network time between caller and instance. It counts
	// towards the route's objective.
	callerRoundTrip = 6 * time.Millisecond
	// explorationShare is the share of the requests that are not urgent and may use
	// slots above the saturation point, by which the point is learned.
	explorationShare = 0.02
	// slackShare is the part of the time in which a request can still meet its
	// objective that it may wait. Requests that wait longer take the room from later
	// ones and then are late themselves on a target that is slower than expected.
	slackShare = 0.5
	// lateWaitShare is how long a request waits for room if its objective cannot be
	// met, as a share of the objective.
	lateWaitShare = 0.3
	// limitedWaitShare is the part of MaxWait for which a request waits while some requests of
	// its route are turned away. The room that it hopes for is little, and others of its route come.
	limitedWaitShare = 0.5
	// lastStartMargin is the time before the deadline until which a request may wait,
	// as a multiple of its mean work. A later start would rarely end in time.
	lastStartMargin = 1.5
	// maxWaitShare is the part of the time until its deadline that a request may wait,
	// so that a refused caller has time to try again.
	maxWaitShare = 0.5
)

// Requirement is the condition that a target must meet to be chosen. All of
// them require a response before the deadline.
type Requirement int

// Requirements, from the strictest to the least strict.
const (
	// RequireIdle requires a target that runs at full speed and has few recent
	// failures. It is meant for hedged requests.
	RequireIdle Requirement = iota
	// RequireObjective requires an expected response within the route's objective.
	RequireObjective
	// RequireDeadline requires an expected response before the deadline.
	RequireDeadline
)

// String returns the requirement in words.
func (r Requirement) String() string {
	return [...]string{"an idle target", "a response within the objective", "a response before the deadline"}[r]
}

// Choice is the target chosen for a request.
type Choice struct {
	Target *catalog.Target
	// Slowdown is the expected time on the target as a multiple of the route's
	// mean work.
	Slowdown float64
	// AboveSaturation is true when the target has more requests than it can run at
	// full speed, including this one.
	AboveSaturation bool
	// Expected is the expected time until the response.
	Expected time.Duration
	// HedgeAfter is the time after the send at which the request should be sent to
	// a second target as well.
	HedgeAfter time.Duration
	// Load is the load report on which the choice is based, and Age its age at the
	// choice. Both are for the log.
	Load Load
	Age  time.Duration
	// occupiedShare and machineSlowdown are those of the estimate.
	occupiedShare, machineSlowdown float64
}

// HasGoodTarget reports whether one of the reports comes from a target that is
// good enough to be chosen without probing further targets.
func (p *Placer) HasGoodTarget(now time.Duration, r *Request, reports []Report) bool {
	mean, requirement := p.workOf(r.Route).mean, p.Requirement(now, r)
	for _, report := range reports {
		if t := p.targets[report.Target.Incarnation()]; t != nil && t.available(now, p) {
			e := p.estimate(now, report, t, mean)
			if e.isGood(now) && e.satisfies(now, r, requirement, false) || p.beatsOtherDomains(now, r, &e) {
				return true
			}
		}
	}
	return false
}

// isGood reports whether the target is below its saturation point, runs at about
// its usual speed and has few recent failures.
func (e *estimate) isGood(now time.Duration) bool {
	return e.occupied <= e.saturation && e.slowdown <= maxGoodSlowdown && e.target.risk(now) < maxGoodFailureRate
}

// Requirement returns the requirement for the first send of the request:
// RequireObjective while an idle target can meet the objective, then
// RequireDeadline.
func (p *Placer) Requirement(now time.Duration, r *Request) Requirement {
	if now+p.workOf(r.Route).mean+callerRoundTrip > r.Arrived+r.objective() {
		return RequireDeadline
	}
	return RequireObjective
}

// satisfies reports whether the target meets the requirement and is expected to
// respond before the deadline. above allows slots above the saturation point.
func (e *estimate) satisfies(now time.Duration, r *Request, requirement Requirement, above bool) bool {
	// A report may be older than requests on their way, and there may be none. Beyond its
	// slots, a target may never answer.
	if now+e.duration > r.Deadline || len(e.target.sendTimes) >= e.slots {
		return false
	}
	// Requests that are not urgent stay below the saturation point, and so do late
	// ones: above it they would slow down requests that can still meet their
	// objective, and a load peak would not end.
	limit := e.saturation
	if above {
		limit = e.slots
	}
	switch requirement {
	case RequireIdle:
		return e.isGood(now)
	case RequireObjective:
		return e.occupied <= limit && now+e.duration+callerRoundTrip <= r.Arrived+r.objective()
	default:
		return e.occupied <= e.saturation
	}
}

// Choose returns the target with the lowest cost among those that have a report
// and satisfy the requirement. It reports false when there is none.
func (p *Placer) Choose(now time.Duration, r *Request, reports []Report, requirement Requirement) (Choice, bool) {
	w := p.workOf(r.Route)
	above := p.hasPrecedence(now, r) || p.random.Float64() < explorationShare
	var best estimate
	found := false
	for _, report := range reports {
		t := p.targets[report.Target.Incarnation()]
		if t == nil || !t.available(now, p) {
			continue // removed since the report, or it wants no request
		}
		e := p.estimateFor(now, r, report, t, w)
		if e.satisfies(now, r, requirement, above) && (!found || e.cost(now) < best.cost(now)) {
			best, found = e, true
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.target.Target, Slowdown: best.slowdown, Expected: best.duration, AboveSaturation: best.occupied > best.saturation,
		HedgeAfter: p.hedgeAfter(now, r, w, best), Load: best.report.Load, Age: now - best.report.At,
		occupiedShare: best.occupiedShare(), machineSlowdown: best.machineSlowdown}, true
}

// hedgeAfter returns the time after the send at which the request is an outlier
// of the estimate. If that is earlier, it returns the latest time from which
// another target can still respond within the objective, provided that the chosen
// target is expected to respond before it.
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
	// an idempotent request is hedged.
	hedgeDeviations = 1.5
	// hedgeMargin is the time that the second target needs for the request, as a
	// multiple of the mean work.
	hedgeMargin = 1.2
)

// MaxWait returns how long after its arrival a request may wait for room before
// it is refused: slackShare of the time in which it can still meet its objective, or
// lateWaitShare of the objective if that cannot be met at all, and limitedWaitShare of that
// while some requests of its route are turned away. It never waits for room that would come too late
// for its deadline.
func (p *Placer) MaxWait(r *Request) time.Duration {
	mean := p.workOf(r.Route).mean
	useful := r.Deadline - r.Arrived - scale(mean, lastStartMargin)
	wait := scale(r.objective()-mean-callerRoundTrip, slackShare)
	if wait <= 0 {
		wait = scale(r.objective(), lateWaitShare)
	}
	if r.routeLimited {
		wait = scale(wait, limitedWaitShare)
	}
	return max(0, min(wait, useful, scale(r.Deadline-r.Arrived, maxWaitShare)))
}

// rejectedRetryDelay is the mean Retry-After time when targets rejected a request
// although they had room. It is short, since another target may accept the request.
const rejectedRetryDelay = 30 * time.Millisecond

// RetryAfter returns the time after which a refused caller should retry. The mean
// is rejectedRetryDelay after a rejection by targets, otherwise the route's mean
// work, in which targets complete what they run; a caller that returns later could
// no longer be served within the objective. It is randomized between half and one
// and a half of the mean, so that callers do not retry all at once.
func (p *Placer) RetryAfter(r *Request, rejected bool) time.Duration {
	mean := p.workOf(r.Route).mean
	if rejected {
		mean = rejectedRetryDelay
	}
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)+1))
}
