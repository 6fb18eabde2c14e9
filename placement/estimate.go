package placement

import "time"

const (
	// kneeShare is the share of its slots up to which a target runs at full
	// speed. Above it some targets slow down so far that they complete less in
	// all, so the slots above are left to urgent and late requests.
	kneeShare = 0.8
	// firstKnee is how much longer work takes above it, before it is learned.
	firstKnee = 1.7
	// kneeWeight is the weight of a new observation in the learned factor.
	kneeWeight = 0.05
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
	// occupied counts the requests at the target with this one, of which the
	// target runs up to brisk at full speed and slots in all.
	occupied, brisk, slots int
}

func (p *Placer) estimate(now time.Duration, r Report, t *target, mean time.Duration) estimate {
	e := estimate{report: r, target: t, slots: max(1, r.Load.Slots)}
	e.occupied = r.Load.Running + r.Load.Waiting + t.sentSince(r.At) + 1
	e.brisk = max(1, int(kneeShare*float64(e.slots)))
	e.factor = max(0.2, r.Load.Slowness)
	if now < t.warm {
		e.factor *= coldFactor
	}
	if e.occupied > e.brisk {
		e.factor *= p.knee(t.Service)
	}
	if waiting := e.occupied - e.slots; waiting > 0 {
		e.factor *= 1 + float64(waiting)/float64(e.slots)
	}
	e.took = scale(mean, e.factor)
	if t.FailureDomain != p.domain {
		e.took += remotePenalty
	}
	return e
}

// cost orders estimates: the expected time, and more for a target that failed lately.
func (e *estimate) cost(now time.Duration) time.Duration {
	return scale(e.took, 1+failurePenalty*e.target.failureRate(now))
}

// knee returns how much longer work takes on the service's targets that are
// nearly full.
func (p *Placer) knee(service string) float64 {
	if factor, known := p.knees[service]; known {
		return factor
	}
	return firstKnee
}

// observeKnee learns from a request that a nearly full target ran: actual is
// its time as a multiple of what an idle target would have taken.
func (p *Placer) observeKnee(service string, actual float64) {
	factor := p.knee(service)
	p.knees[service] = max(1, factor+kneeWeight*(min(actual, 2*firstKnee)-factor))
}
