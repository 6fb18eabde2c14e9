package placement

import "time"

const (
	// saturationShare is the share of its slots up to which a target runs at full
	// speed, its saturation point. Above it some targets slow down so much that
	// their throughput falls, so the remaining slots are for urgent requests only.
	saturationShare = 0.8
	// initialSaturationSlowdown is the slowdown above the saturation point that is
	// assumed for a service until one is learned.
	initialSaturationSlowdown = 1.7
	// saturationWeight is the weight of a new observation in the learned slowdown.
	saturationWeight = 0.05
	// warmupSlowdown is the slowdown assumed while a target warms up. It is below
	// the usual 2, so that a new target gets its share of the requests soon.
	warmupSlowdown = 1.4
	// remotePenalty is added to the estimate of a target in another failure domain,
	// for the network round trip and the traffic between failure domains.
	remotePenalty = 4 * time.Millisecond
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
	// occupied counts the running and waiting requests of the target, including
	// this one. The target runs up to saturation of them at full speed, and at most
	// slots at a time.
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

// cost returns the value by which targets are compared: the expected time,
// increased for recent failures of the target.
func (e *estimate) cost(now time.Duration) time.Duration {
	return scale(e.duration, 1+failurePenalty*e.target.failureRate(now))
}

// saturationSlowdown returns how many times longer work takes on targets of the
// service that are above their saturation point.
func (p *Placer) saturationSlowdown(service string) float64 {
	if slowdown, known := p.saturationSlowdowns[service]; known {
		return slowdown
	}
	return initialSaturationSlowdown
}

// observeSaturation updates the service's saturation slowdown with a request that
// ran on a target above its saturation point. actual is its time as a multiple of
// the time expected on the same target below that point.
func (p *Placer) observeSaturation(service string, actual float64) {
	slowdown := p.saturationSlowdown(service)
	p.saturationSlowdowns[service] = max(1, slowdown+saturationWeight*(min(actual, 2*initialSaturationSlowdown)-slowdown))
}
