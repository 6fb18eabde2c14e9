package placement

import "time"

const (
	// minSlowness bounds the reported slowness, so that a target that reports a wrong
	// one does not get all requests.
	minSlowness = 0.2
	// warmupSlowdown is the slowdown assumed while a target warms up. It is below
	// the usual 2, so that a new target gets its share of the requests soon.
	warmupSlowdown = 1.4
)

// estimate is the expected time of a request on a target, and what it is based on.
type estimate struct {
	report Report
	target *target
	// slowdown is the expected time on the target as a multiple of the route's
	// mean work, without the network.
	slowdown float64
	// duration is the expected time until the response.
	duration time.Duration
	// machineSlowdown is the part of slowdown that does not depend on the number of
	// requests on the target.
	machineSlowdown float64
	// occupied counts the running and waiting requests of the target, including
	// this one. The target's throughput is highest with saturation of them, and it
	// runs at most slots at a time.
	occupied, saturation, slots int
	// nearPreference is added to the cost of a target in another failure domain.
	nearPreference time.Duration
}

func (p *Placer) estimate(now time.Duration, r Report, t *target, mean time.Duration) estimate {
	e := estimate{report: r, target: t, slots: max(1, r.Load.Slots)}
	e.occupied = r.Load.Running + r.Load.Waiting + t.sentSince(r.At) + 1
	curve := p.curve(t.Service)
	e.saturation = curve.saturation(e.slots)
	e.machineSlowdown = max(minSlowness, r.Load.Slowness)
	switch {
	case t.warmup.cold(now):
		e.machineSlowdown *= coldSlowdown
	case now < t.warmUntil && !t.warmup.limited():
		e.machineSlowdown *= warmupSlowdown
	}
	e.slowdown = e.machineSlowdown * curve.at(e.occupiedShare())
	if waiting := e.occupied - e.slots; waiting > 0 {
		e.slowdown *= 1 + float64(waiting)/float64(e.slots)
	}
	e.duration = scale(mean, e.slowdown)
	e.duration += p.roundTrips.crossing(p.domain, t.FailureDomain)
	return e
}

// estimateFor returns the estimate for a request whose route has the work w, with the
// preference for targets of this failure domain.
func (p *Placer) estimateFor(now time.Duration, r *Request, report Report, t *target, w *routeWork) estimate {
	e := p.estimate(now, report, t, w.mean)
	if t.FailureDomain != p.domain {
		e.nearPreference = w.nearPreference(r.spare(now, e.duration))
	}
	return e
}

// occupiedShare returns the part of the target's slots that are in use, up to 1.
func (e *estimate) occupiedShare() float64 {
	return min(1, float64(e.occupied)/float64(e.slots))
}

// cost returns the value by which targets are compared: the expected time,
// increased for the risk that the target fails and for a response that crosses to another
// failure domain.
func (e *estimate) cost(now time.Duration) time.Duration {
	factor := 1 + failurePenalty*e.target.risk(now)
	if e.target.warmup.cold(now) { // within the objective, its slots are as good as those of others
		factor /= coldSlowdown
	}
	return scale(e.duration, factor) + e.nearPreference
}
