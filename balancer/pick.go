package balancer

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

const (
	// costNoise is the width of the random part of a target's cost, in shares
	// of its slots. It keeps instances with the same view from choosing the
	// same target.
	costNoise = 0.1
	// sameDomainBonus is taken off the cost of a free target in the failure
	// domain of this instance.
	sameDomainBonus = 0.05
	// maxConsidered bounds the targets that one Pick compares, from a random
	// start. 24 took longer than the 2 µs allowed for a decision.
	maxConsidered = 16
	// minFreedSlotTrust keeps targets that always claim to be idle from being
	// preferred for it.
	minFreedSlotTrust = 0.5
)

// PickOptions is what a request asks of its target.
type PickOptions struct {
	Class tables.Class
	// Exclude lists the indexes of targets that were already tried.
	Exclude []int
	// Retry marks a second attempt. It goes to no target that failed last, and
	// the failure domain of this instance is not preferred.
	Retry bool
}

// Choice is a target to send to.
type Choice struct {
	Index         int
	Name, Address string
	// Free is true when the target is believed to have a free slot.
	Free bool
}

// Pick chooses a target and does not count the request as sent. It returns
// false when no target may take the request now.
func (b *Balancer) Pick(now time.Duration, n PickOptions) (Choice, bool) {
	b.advance(now)
	targets := b.inUse()
	var best *target
	var free bool
	if n.Class == tables.ClassLong && !b.longOnly {
		best, free = b.pickLong(targets, &n)
	} else {
		best, free = b.pickFrom(targets, &n, false)
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Index: best.index, Name: best.name, Address: best.address, Free: free}, true
}

// pickLong prefers the long slots assigned to this instance. While these are at
// targets that cannot be used, or there are none, it takes any target whose
// long slots look free, within the share of this instance.
func (b *Balancer) pickLong(targets []*target, n *PickOptions) (best *target, free bool) {
	if len(b.fleet.Members) > 0 {
		if best, free = b.pickFrom(targets, n, true); best != nil {
			return best, free
		}
	}
	if b.longInFlight() >= b.LongShare() {
		return nil, false
	}
	return b.pickFrom(targets, n, false)
}

// PickFreedSlot chooses the target with the index when an answer that has just
// ended reported room there. It returns false when the target may not take the
// request, is slow, suspect or starting slowly, or is not trusted.
func (b *Balancer) PickFreedSlot(now time.Duration, index int, n PickOptions) (Choice, bool) {
	b.advance(now)
	t := b.targets[index]
	if t == nil || !b.eligible(t, &n, true) || !b.healthy(t) || t.inFlight() >= t.usableSlots() {
		return Choice{}, false
	}
	return Choice{Index: t.index, Name: t.name, Address: t.address, Free: true}, true
}

// healthy reports whether load is the only reason to avoid the target.
func (b *Balancer) healthy(t *target) bool {
	return b.rampedUp(t) && !t.cold && !t.health.suspect(b.now) && t.trust.weight() >= minFreedSlotTrust &&
		t.slowness.factor(b.now) == 1
}

// pickFrom returns the target of least cost. assignedOnly restricts long work to
// the slots assigned to this instance.
func (b *Balancer) pickFrom(targets []*target, n *PickOptions, assignedOnly bool) (best *target, free bool) {
	if len(targets) == 0 {
		return nil, false
	}
	s := scan{b: b, need: n, departureRate: b.averages.departureRate(), maxRampWeight: b.maxRampWeight()}
	start, considered := b.rand.IntN(len(targets)), 0
	for i := range targets {
		if start+i == len(targets) {
			start = -i
		}
		t := targets[start+i]
		if !b.eligible(t, n, assignedOnly) {
			continue
		}
		s.consider(t)
		if considered++; considered == maxConsidered {
			break
		}
	}
	if !s.hasFreshLoad && considered > 2 {
		s.twoChoices(targets, assignedOnly)
	}
	return s.best, s.free
}

func (b *Balancer) eligible(t *target, n *PickOptions, assignedOnly bool) bool {
	if !t.available(b.now) || (n.Retry && t.health.suspect(b.now)) {
		return false
	}
	if n.Class == tables.ClassLong && !b.longOnly && !b.longAllowed(t, assignedOnly) {
		return false
	}
	return len(n.Exclude) == 0 || !slices.Contains(n.Exclude, t.index)
}

// scan is the state of one pass over the targets.
type scan struct {
	b             *Balancer
	need          *PickOptions
	departureRate float64
	maxRampWeight float64
	best          *target
	free          bool
	cost          float64
	hasFreshLoad  bool // a target has a fresh result
}

// consider takes the target if it costs less than the best one so far.
func (s *scan) consider(t *target) {
	cost, free := s.costOf(t)
	s.hasFreshLoad = s.hasFreshLoad || s.b.hasFreshLoad(t)
	cost += costNoise * s.b.rand.Float64()
	if s.best == nil || cost < s.cost {
		s.best, s.cost, s.free = t, cost, free
	}
}

// costOf is the expected number of requests per slot with this one, times the
// factors by which the target is slower or less reliable than the pool.
func (s *scan) costOf(t *target) (cost float64, free bool) {
	b := s.b
	slots := float64(t.usableSlots()) * b.rampWeight(t) / s.maxRampWeight
	slots = max(1, slots)
	requests := b.expectedInFlight(t, s.departureRate) + 1
	// An expected value with a fraction still leaves a slot free more often
	// than not up to half a request above the slots.
	free = requests <= slots+0.5
	cost = requests / slots * t.slowness.factor(b.now) * t.health.penalty(b.now)
	if free && !s.need.Retry && t.failureDomain != "" && t.failureDomain == b.options.FailureDomain {
		cost -= sameDomainBonus
	}
	return cost, free
}
