package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Placer chooses targets for the requests of one instance. It is not safe for
// concurrent use: one goroutine owns it.
type Placer struct {
	domain    string
	instances int // of the fleet
	random    *rand.Rand
	// seed gives this instance its own order of targets.
	seed       uint64
	targets    map[catalog.Incarnation]*target
	absent     absentTargets
	services   map[string][]*target
	lists      map[string][]*catalog.Target // argument of the last SetTargets
	generation uint64                       // number of calls of SetTargets
	// hasLocal tells for each service whether it has targets in the instance's domain.
	hasLocal    map[string]bool
	routeWork   map[string]*routeWork      // by route name
	curves      map[string]*occupancyCurve // by service, learned
	loads       map[string]*serviceLoad    // by service, observed
	queues      map[string]*waitQueue      // by service
	probes      probeBudget
	roundTrips  roundTrips // of probes
	probeCounts map[subsetKey]*decayingCount
	share       ShareFunc
	demand      demand
	regions     map[string]string // by failure domain
	// settled reports whether this instance may use its shares of cold targets.
	settled     func(now time.Duration) bool
	warmupTerms map[string]shareTerms    // by service, of those that limit the requests of cold targets
	owned       map[string]*ownedTargets // by service
	// reachabilities are those of the services with targets; answeredAt is when a target of
	// any of them last answered.
	reachabilities map[string]*reachability
	answeredAt     time.Duration
}

// New returns a placer without targets for an instance in the failure domain.
func New(domain string, random *rand.Rand) *Placer {
	return &Placer{domain: domain, instances: 1, random: random, seed: random.Uint64(), targets: make(map[catalog.Incarnation]*target),
		services: make(map[string][]*target), hasLocal: make(map[string]bool), routeWork: make(map[string]*routeWork),
		curves: make(map[string]*occupancyCurve), loads: make(map[string]*serviceLoad),
		queues: make(map[string]*waitQueue), roundTrips: make(roundTrips), probeCounts: make(map[subsetKey]*decayingCount),
		share:   func(*catalog.Target, int) (bool, int) { return true, 1 },
		settled: func(time.Duration) bool { return true }, owned: make(map[string]*ownedTargets),
		reachabilities: make(map[string]*reachability)}
}

// SetShares sets the function that divides limited targets among the instances. Before
// the call this instance takes the whole limit.
func (p *Placer) SetShares(share ShareFunc) { p.share = share }

// target returns the state of a target, also if its entry is away, or nil if it is unknown.
func (p *Placer) target(id catalog.Incarnation) *target {
	if t := p.targets[id]; t != nil {
		return t
	}
	return p.absent.get(id)
}

// order returns the sort key of a target. It is a hash seeded per instance, so
// that each instance orders the targets differently.
func (p *Placer) order(id string) uint64 {
	h := xxhash.NewWithSeed(p.seed)
	_, _ = h.WriteString(id) // a hash never fails
	return h.Sum64()
}

// SetFleet sets the number of instances that share the targets, and the limit of
// probes per target and second, summed over all instances; 0 means no limit. The
// instance uses its share of the limit. Before the first call it is the only one.
func (p *Placer) SetFleet(now time.Duration, instances int, perTarget float64) {
	p.instances = max(1, instances)
	share := min(maxProbeShare, probeMargin/float64(p.instances))
	p.probes.setRate(now, share*perTarget*float64(len(p.targets)))
}

// SetRegions sets the region of each failure domain. Before the call none is known.
func (p *Placer) SetRegions(regions map[string]string) { p.regions = regions }

// mayHandle reports whether requests of the route may be handled in the region of a target.
func (p *Placer) mayHandle(route *catalog.Route, t *target) bool {
	return len(route.Regions) == 0 || slices.Contains(route.Regions, p.regions[t.FailureDomain])
}

// HasTargets reports whether the service has targets that accept new requests of the route.
func (p *Placer) HasTargets(route *catalog.Route, service string) bool {
	return slices.ContainsFunc(p.services[service], func(t *target) bool { return p.mayHandle(route, t) })
}

// Probed records the result of a probe. It reports whether the target changed
// between responsive and unresponsive.
func (p *Placer) Probed(now time.Duration, id catalog.Incarnation, result ProbeResult) (changed bool) {
	t := p.target(id)
	if t == nil {
		return false
	}
	responded := result != ProbeSilent
	changed = responded == (t.consecutiveFailures > 0)
	if responded {
		t.recordResponse()
		t.recordHealth(now, result == ProbeIll)
	} else {
		t.recordNoResponse(now)
	}
	return changed
}

// Advised records what a target says in the response of an exchange. It reports whether
// the target leaves or limits its requests from now on or no longer, or asks for a pause.
func (p *Placer) Advised(now time.Duration, id catalog.Incarnation, a Advice, e Exchange) (changed bool) {
	t := p.target(id)
	if t == nil {
		return false
	}
	leaving, limited := t.leaving.now, t.limit.named.now
	t.advised(now, a, e, p.random)
	return t.leaving.now != leaving || t.limit.named.now != limited || a.RetryAfter > 0
}

// HeldBackFor returns the time for which no target of the service wants a request of this
// instance, 0 if there is one that does. It is the largest Duration if that is not known.
func (p *Placer) HeldBackFor(now time.Duration, r *Request) time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, t := range p.services[r.Service] {
		if !p.mayHandle(r.Route, t) {
			continue
		}
		if t.available(now, p) {
			return 0
		}
		wait = min(wait, t.unavailableFor(now, p))
	}
	return wait
}

// Sent records that a request is sent to a target.
func (p *Placer) Sent(now time.Duration, id catalog.Incarnation) {
	if t := p.target(id); t != nil {
		t.sendTimes = append(t.sendTimes, now)
		t.limit.take()
		t.warmup.take()
		p.queue(t.Service).started(now)
	}
}

// Outcome describes how a request on a target ended. The zero value is an end
// that says nothing about the target.
type Outcome struct {
	// Responded is true when the target ran the request and its response arrived.
	Responded bool
	// Failed is true when the target is at fault: an error, a broken connection or
	// an invalid response.
	Failed bool
	// ConnectionLost is true when Failed is, and the connection could not be made
	// or broke before the response.
	ConnectionLost bool
	// NoConnection is true when ConnectionLost is, and no connection could be made.
	NoConnection bool
	// Rejected is true when the target refused to run the request.
	Rejected bool
	// Latency is the time from the send to the end of the request.
	Latency time.Duration
	// ResponseBytes is the size of the response's body if Responded is true.
	ResponseBytes int64
}

// Ended records the end of a request that was sent to a target at the time sent,
// and updates the estimates with its outcome.
func (p *Placer) Ended(now time.Duration, id catalog.Incarnation, sent time.Duration, route *catalog.Route, choice Choice, outcome Outcome) {
	t := p.target(id)
	if t == nil {
		return
	}
	for i, at := range t.sendTimes {
		if at == sent {
			t.sendTimes = append(t.sendTimes[:i], t.sendTimes[i+1:]...)
			break
		}
	}
	switch {
	case outcome.Failed:
		t.recordOutcome(now, true)
		if outcome.ConnectionLost {
			t.recordNoResponse(now)
		}
	case outcome.Rejected:
		t.recordOutcome(now, true)
	case outcome.Responded:
		t.recordOutcome(now, false)
		w := p.workOf(route)
		w.observeSize(outcome.ResponseBytes)
		if w.known() && choice.Age <= maxFreshAge {
			p.curve(t.Service).observe(choice.occupiedShare, float64(outcome.Latency)/float64(scale(w.mean, choice.machineSlowdown)))
		}
		// The mean is learned from lightly loaded targets, unless there are none: a
		// mean that includes the slowdown of full ones would hide it.
		if choice.occupiedShare <= lightShare || !w.known() {
			w.observe(outcome.Latency, choice.Slowdown)
		}
	}
}

func (p *Placer) workOf(route *catalog.Route) *routeWork {
	w := p.routeWork[route.Name]
	if w == nil {
		mean := scale(max(route.Objective, 10*time.Millisecond), initialWorkShare)
		w = &routeWork{mean: mean, deviation: scale(mean, initialDeviationShare)}
		p.routeWork[route.Name] = w
	}
	return w
}
