package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Placer is the decision state of one instance. One goroutine owns it.
type Placer struct {
	domain string
	random *rand.Rand
	// seed makes this instance's order of targets its own.
	seed                uint64
	targets             map[catalog.Incarnation]*target
	services            map[string][]*target
	work                map[string]*routeWork // by route
	saturationSlowdowns map[string]float64    // by service, learned
	probes              probeBudget
}

// New returns a placer of an instance in a failure domain.
func New(domain string, random *rand.Rand) *Placer {
	return &Placer{domain: domain, random: random, seed: random.Uint64(), targets: make(map[catalog.Incarnation]*target),
		services: make(map[string][]*target), work: make(map[string]*routeWork),
		saturationSlowdowns: make(map[string]float64)}
}

// SetTargets replaces the targets that take new work. What is known of
// incarnations that stay is kept.
func (p *Placer) SetTargets(now time.Duration, services map[string][]*catalog.Target) {
	targets := make(map[catalog.Incarnation]*target)
	p.services = make(map[string][]*target, len(services))
	for name, list := range services {
		for _, registered := range list {
			t := p.targets[registered.Incarnation()]
			if t == nil {
				t = &target{warmUntil: now + registered.WarmupLeft}
			}
			t.Target = registered
			targets[registered.Incarnation()] = t
			p.services[name] = append(p.services[name], t)
		}
		slices.SortFunc(p.services[name], func(a, b *target) int { return cmp.Compare(p.order(a), p.order(b)) })
	}
	p.targets = targets
}

// order is this instance's own order of targets; any two instances have
// different ones.
func (p *Placer) order(t *target) uint64 {
	h := xxhash.NewWithSeed(p.seed)
	_, _ = h.WriteString(t.ID) // a hash never fails
	return h.Sum64()
}

// SetProbeLimit sets the number of probes that a target may get a second from
// all instances together; 0 is no bound.
func (p *Placer) SetProbeLimit(now time.Duration, perTarget float64, instances int) {
	p.probes.setRate(now, probeMargin*perTarget*float64(len(p.targets))/float64(max(1, instances)))
}

// HasTargets reports whether the service has targets that take new work.
func (p *Placer) HasTargets(service string) bool { return len(p.services[service]) > 0 }

// Probed notes whether a target answered a probe, and reports whether that
// changes what is believed of it.
func (p *Placer) Probed(now time.Duration, id catalog.Incarnation, answered bool) (changed bool) {
	t := p.targets[id]
	if t == nil {
		return false
	}
	changed = answered == (t.unanswered > 0)
	if answered {
		t.recordAnswer()
	} else {
		t.recordNoAnswer(now)
	}
	return changed
}

// Sent notes that a request goes to a target.
func (p *Placer) Sent(now time.Duration, id catalog.Incarnation) {
	if t := p.targets[id]; t != nil {
		t.sendTimes = append(t.sendTimes, now)
	}
}

// Outcome is how a request at a target ended.
type Outcome struct {
	// Answered is true when the target ran the request and its answer arrived.
	Answered bool
	// Failed is true when the target is to blame: an error, a broken connection,
	// a spoiled answer.
	Failed bool
	// ConnectionLost is true when the target broke off without an answer.
	ConnectionLost bool
	// Rejected is true when the target refused to run the request.
	Rejected bool
	// Latency is the time from the send to the answer.
	Latency time.Duration
}

// Ended notes the end of a request that was sent at a moment.
func (p *Placer) Ended(now time.Duration, id catalog.Incarnation, sent time.Duration, route *catalog.Route, choice Choice, outcome Outcome) {
	t := p.targets[id]
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
			t.recordNoAnswer(now)
		}
	case outcome.Rejected:
		t.recordOutcome(now, true)
	case outcome.Answered:
		t.recordOutcome(now, false)
		w := p.workOf(route)
		if choice.AboveSaturation {
			p.observeSaturation(t.Service, float64(outcome.Latency)/float64(scale(w.mean, choice.Slowdown/p.saturationSlowdown(t.Service))))
			return
		}
		w.observe(outcome.Latency, choice.Slowdown)
	}
}

func (p *Placer) workOf(route *catalog.Route) *routeWork {
	w := p.work[route.Name]
	if w == nil {
		mean := scale(max(route.Objective, 10*time.Millisecond), initialWorkShare)
		w = &routeWork{mean: mean, deviation: scale(mean, initialDeviationShare)}
		p.work[route.Name] = w
	}
	return w
}
