package balancer

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

const (
	// costNoise is the width of the random part of a target's cost, as a share
	// of its slots. It keeps instances with the same view from picking the same
	// target.
	costNoise = 0.1
	// sameDomainBonus is subtracted from the cost of a free target in the
	// failure domain of this instance.
	sameDomainBonus = 0.05
	// maxConsidered bounds the targets that one Pick compares, from a random
	// start. With 24, a decision takes longer than the 2 µs allowed.
	maxConsidered = 16
	// minFreedSlotTrust is the minimum trust in a target to use its freed
	// slots. It keeps targets that always claim to be idle from being
	// preferred.
	minFreedSlotTrust = 0.5
)

// PickOptions describes the attempt for which a target is picked.
type PickOptions struct {
	Class tables.Class
	// Exclude lists the indexes of targets that must not be picked, such as
	// those already tried.
	Exclude []int
	// Retry marks an attempt after the first. It is not sent to suspect
	// targets, and the failure domain of this instance is not preferred.
	Retry bool
}

// Choice is a target picked for an attempt or a probe.
type Choice struct {
	Index         int
	Name, Address string
	// Free is true if the target is expected to have a free slot.
	Free bool
}

// Pick returns the target for an attempt, or false if no target may take it
// now. It does not record the attempt; see Sent.
func (b *Balancer) Pick(now time.Duration, options PickOptions) (Choice, bool) {
	b.advance(now)
	targets := b.inUse()
	var best *target
	var free bool
	if options.Class == tables.ClassLong && !b.longOnly {
		best, free = b.pickLong(targets, &options)
	} else {
		best, free = b.pickFrom(targets, &options, false)
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Index: best.index, Name: best.name, Address: best.address, Free: free}, true
}

// pickLong prefers the long slots assigned to this instance. If there are none,
// or none of their targets can be used, it picks any target with a free long
// slot, up to the share of this instance.
func (b *Balancer) pickLong(targets []*target, options *PickOptions) (best *target, free bool) {
	if len(b.fleet.Members) > 0 {
		if best, free = b.pickFrom(targets, options, true); best != nil {
			return best, free
		}
	}
	if b.longInFlight() >= b.LongShare() {
		return nil, false
	}
	return b.pickFrom(targets, options, false)
}

// PickFreedSlot returns the target with the given index, at which a response
// has just freed a slot. It returns false if the target may not take the
// attempt, is slow, suspect, in slow start or not trusted, or has no free slot.
func (b *Balancer) PickFreedSlot(now time.Duration, index int, options PickOptions) (Choice, bool) {
	b.advance(now)
	t := b.targets[index]
	if t == nil || !b.eligible(t, &options, true) || !b.healthy(t) || t.inFlight() >= t.usableSlots() {
		return Choice{}, false
	}
	return Choice{Index: t.index, Name: t.name, Address: t.address, Free: true}, true
}

// healthy reports whether load is the only reason to avoid the target.
func (b *Balancer) healthy(t *target) bool {
	return b.rampedUp(t) && !t.cold && !t.health.suspect(b.now) && t.trust.weight() >= minFreedSlotTrust &&
		t.slowness.factor(b.now) == 1
}

// pickFrom returns the target with the lowest cost. assignedOnly restricts long
// requests to the slots assigned to this instance.
func (b *Balancer) pickFrom(targets []*target, options *PickOptions, assignedOnly bool) (best *target, free bool) {
	if len(targets) == 0 {
		return nil, false
	}
	s := scan{b: b, options: options, departureRate: b.averages.departureRate(), maxRampWeight: b.maxRampWeight()}
	start, considered := b.rand.IntN(len(targets)), 0
	for i := range targets {
		if start+i == len(targets) {
			start = -i
		}
		t := targets[start+i]
		if !b.eligible(t, options, assignedOnly) {
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

func (b *Balancer) eligible(t *target, options *PickOptions, assignedOnly bool) bool {
	if !t.available(b.now) || (options.Retry && t.health.suspect(b.now)) {
		return false
	}
	if options.Class == tables.ClassLong && !b.longOnly && !b.longAllowed(t, assignedOnly) {
		return false
	}
	return len(options.Exclude) == 0 || !slices.Contains(options.Exclude, t.index)
}

// scan is the state of one pass over the targets.
type scan struct {
	b             *Balancer
	options       *PickOptions
	departureRate float64
	maxRampWeight float64
	best          *target
	free          bool
	cost          float64
	hasFreshLoad  bool // a considered target has a fresh load sample
}

// consider makes the target the best one if it costs less than the best so far.
func (s *scan) consider(t *target) {
	cost, free := s.costOf(t)
	s.hasFreshLoad = s.hasFreshLoad || s.b.hasFreshLoad(t)
	cost += costNoise * s.b.rand.Float64()
	if s.best == nil || cost < s.cost {
		s.best, s.cost, s.free = t, cost, free
	}
}

// costOf returns the cost of the target: the expected number of requests per
// slot including this one, times the factors by which the target is slower or
// less reliable than the pool. free reports whether a free slot is expected.
func (s *scan) costOf(t *target) (cost float64, free bool) {
	b := s.b
	slots := float64(t.usableSlots()) * b.rampWeight(t) / s.maxRampWeight
	slots = max(1, slots)
	requests := b.expectedInFlight(t, s.departureRate) + 1
	// The expected number has a fraction: up to half a request above the number
	// of slots, a slot is still more likely free than not.
	free = requests <= slots+0.5
	cost = requests / slots * t.slowness.factor(b.now) * t.health.penalty(b.now)
	if free && !s.options.Retry && t.failureDomain != "" && t.failureDomain == b.options.FailureDomain {
		cost -= sameDomainBonus
	}
	return cost, free
}
