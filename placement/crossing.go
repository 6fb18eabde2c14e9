package placement

import "time"

const (
	// initialCrossing is the time that a request to another failure domain is assumed to
	// take longer, until the round trips there and in this domain are known.
	initialCrossing = 4 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of a probe that took less, or more, time
	// than the round trip that is known. Probes may open a connection or meet a busy target,
	// so the shorter ones show the network.
	fasterWeight = 0.2
	slowerWeight = 0.02
	// nearBytes is the size of a response for which a target in this failure domain may take
	// longer by half of the spare time of the request than one in another domain. Responses
	// up to a few packets cross as cheaply as the load report that precedes them.
	nearBytes = 16 << 10
	// sizeWeight is the weight of a new response in the mean size of a route's responses.
	sizeWeight = 0.05
)

// roundTrips holds the times of probes, by failure domain of the target.
type roundTrips map[string]time.Duration

// observe adds a probe that was answered.
func (r roundTrips) observe(domain string, took time.Duration) {
	known, ok := r[domain]
	switch {
	case !ok:
		r[domain] = took
	case took < known:
		r[domain] += scale(took-known, fasterWeight)
	default:
		r[domain] += scale(took-known, slowerWeight)
	}
}

// crossing returns how much longer a request to a failure domain takes than in the
// instance's own domain.
func (r roundTrips) crossing(own, domain string) time.Duration {
	if own == domain {
		return 0
	}
	near, knowsNear := r[own]
	far, knowsFar := r[domain]
	if !knowsNear || !knowsFar {
		return initialCrossing
	}
	return max(0, far-near)
}

// ProbeTook records the time that an answered probe of a target took.
func (p *Placer) ProbeTook(domain string, took time.Duration) { p.roundTrips.observe(domain, took) }

// observeSize adds a response of bytes to the mean size.
func (w *routeWork) observeSize(bytes int64) {
	if w.size == 0 {
		w.size = float64(bytes)
		return
	}
	w.size += sizeWeight * (float64(bytes) - w.size)
}

// nearPreference returns by how much a target in another failure domain must be faster
// than one in this domain for a request with the given time to spare: a part of that time
// that grows with the size of the response. A request without spare time has none, so that
// callers do not wait longer than their objective for a near target.
func (w *routeWork) nearPreference(spare time.Duration) time.Duration {
	return scale(max(0, spare), w.size/(w.size+nearBytes))
}

// spare returns the time that is left until the objective if the response takes duration.
func (r *Request) spare(now, duration time.Duration) time.Duration {
	return r.Arrived + r.objective() - callerRoundTrip - now - duration
}

// beatsOtherDomains reports whether no target in another failure domain could be
// preferred to this one of the instance's own domain, which meets the objective: not even
// one that runs nothing else at its usual speed.
func (p *Placer) beatsOtherDomains(now time.Duration, r *Request, e *estimate) bool {
	w := p.workOf(r.Route)
	if e.target.FailureDomain != p.domain || !e.satisfies(now, r, RequireObjective, false) || e.target.risk(now) >= maxGoodFailureRate {
		return false
	}
	return e.duration <= w.mean+w.nearPreference(r.spare(now, w.mean))
}
