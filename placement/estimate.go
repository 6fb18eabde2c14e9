package placement

import "time"

const (
	// saturationShare is the share of its slots up to which a target runs at full
	// speed. Above it some targets slow down so far that they complete less in
	// all, so the slots above are left to urgent and late requests.
	saturationShare = 0.8
	// initialSaturationSlowdown is how much longer work takes above it, before it is learned.
	initialSaturationSlowdown = 1.7
	// saturationWeight is the weight of a new observation in the learned factor.
	saturationWeight = 0.05
	// warmupSlowdown is how much longer work takes while a target warms up. It is
	// below the usual 2, since a target that joined must get its share soon.
	warmupSlowdown = 1.4
	// remotePenalty is added for a target in another failure domain: the way
	// there and back, and the bytes between failure domains.
	remotePenalty = 4 * time.Millisecond
)

// estimate is the expected time of a request at a target.
type estimate struct {
	report Report
	target *target
	// slowdown is the expected time as a multiple of the route's work.
	slowdown float64
	duration time.Duration
	// occupied counts the requests at the target with this one, of which the
	// target runs up to saturation at full speed and slots in all.
	occupied, saturation, slots int
}

func (p *Placer) estimate(now time.Duration, r Report, t *target, mean time.Duration) estimate {
	e := estimate{report: r, target: t, slots: max(1, r.Load.Slots)}
	e.occupied = r.Load.Running + r.Load.Waiting + t.sentSince(r.At) + 1
	e.saturation = max(1, int(saturationShare*float64(e.slots)))
	e.slowdown = max(0.2, r.Load.Slowness)
	if now < t.warmUntil {
		e.slowdown *= warmupSlowdown
	}
	if e.occupied > e.saturation {
		e.slowdown *= p.saturationSlowdown(t.Service)
	}
	if waiting := e.occupied - e.slots; waiting > 0 {
		e.slowdown *= 1 + float64(waiting)/float64(e.slots)
	}
	e.duration = scale(mean, e.slowdown)
	if t.FailureDomain != p.domain {
		e.duration += remotePenalty
	}
	return e
}

// cost orders estimates: the expected time, and more for a target that failed lately.
func (e *estimate) cost(now time.Duration) time.Duration {
	return scale(e.duration, 1+failurePenalty*e.target.failureRate(now))
}

// saturationSlowdown returns how much longer work takes on the service's targets that are
// nearly full.
func (p *Placer) saturationSlowdown(service string) float64 {
	if slowdown, known := p.saturationSlowdowns[service]; known {
		return slowdown
	}
	return initialSaturationSlowdown
}

// observeSaturation learns from a request that a nearly full target ran: actual is
// its time as a multiple of what an idle target would have taken.
func (p *Placer) observeSaturation(service string, actual float64) {
	slowdown := p.saturationSlowdown(service)
	p.saturationSlowdowns[service] = max(1, slowdown+saturationWeight*(min(actual, 2*initialSaturationSlowdown)-slowdown))
}
