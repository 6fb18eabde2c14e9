package placement

import "time"

const (
	// kneeShare is the share of its slots up to which a target runs at full speed.
	kneeShare = 0.8
	// kneeFactor is how much longer work takes above it.
	kneeFactor = 1.7
	// coldFactor is how much longer work takes while a target warms up. It is
	// below the usual 2, since a target that joined must get its share soon.
	coldFactor = 1.4
	// remotePenalty is added for a target in another failure domain: the way
	// there and back, and the bytes between failure domains.
	remotePenalty = 4 * time.Millisecond
)

// estimate is the expected time of a request at a target.
type estimate struct {
	report Report
	target *target
	// factor is the expected time as a multiple of the route's work.
	factor float64
	took   time.Duration
	// room is false when the target could neither run nor queue the request.
	room bool
	// queued is true when the request would wait for a slot.
	queued bool
}

func (p *Placer) estimate(now time.Duration, r Report, t *target, mean time.Duration) estimate {
	slots := float64(max(1, r.Load.Slots))
	occupied := float64(r.Load.Running + r.Load.Waiting + t.sentSince(r.At) + 1)
	factor := max(0.2, r.Load.Slowness)
	if now < t.warm {
		factor *= coldFactor
	}
	if occupied > kneeShare*slots {
		factor *= kneeFactor
	}
	queued := occupied > slots
	if queued {
		factor *= 1 + (occupied-slots)/slots
	}
	e := estimate{report: r, target: t, factor: factor, queued: queued, room: occupied <= slots*(1+queueShare)}
	e.took = scale(mean, factor)
	if t.FailureDomain != p.domain {
		e.took += remotePenalty
	}
	return e
}

// cost orders estimates: the expected time, and more for a target that failed lately.
func (e *estimate) cost(now time.Duration) time.Duration {
	return scale(e.took, 1+failurePenalty*e.target.failureRate(now))
}
