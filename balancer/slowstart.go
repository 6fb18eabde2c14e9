package balancer

import "time"

const (
	// initialRampWeight is the share of its slots that a target starts with.
	initialRampWeight = 0.1
	// maxColdWeight bounds the weight while the target reports that it is cold.
	maxColdWeight = 0.5
)

// rampWeight returns the share of its slots that a target may use now.
func (b *Balancer) rampWeight(t *target) float64 {
	if b.rampedUp(t) && !t.cold {
		return 1
	}
	progress := float64(b.now-t.rampStart) / float64(b.options.SlowStart)
	w := min(1, max(initialRampWeight, progress))
	if t.cold {
		w = min(w, maxColdWeight)
	}
	return w
}

func (b *Balancer) rampedUp(t *target) bool { return b.now-t.rampStart >= b.options.SlowStart }

// maxWeightCacheTime is how long the result of maxRampWeight is reused. Weights
// change by less than a thousandth in this time, and a pass over 560 targets in
// each Pick would take longer than a decision may.
const maxWeightCacheTime = 5 * time.Millisecond

// maxRampWeight returns the largest ramp weight among the targets that may
// receive requests. Weights are relative to it, so that a pool whose targets
// are all cold still uses its slots.
func (b *Balancer) maxRampWeight() float64 {
	if b.now < b.cachedMaxWeightUntil {
		return b.cachedMaxWeight
	}
	w := initialRampWeight
	for _, t := range b.inUse() {
		if t.available(b.now) {
			if w = max(w, b.rampWeight(t)); w == 1 {
				break
			}
		}
	}
	b.cachedMaxWeight, b.cachedMaxWeightUntil = w, b.now+maxWeightCacheTime
	return w
}

// setCold stores whether the target reports that it is cold. The first such
// report starts its slow start.
func (b *Balancer) setCold(t *target, cold bool) {
	if cold && !t.cold {
		b.startRamp(t)
	}
	t.cold = cold
}

func (b *Balancer) startRamp(t *target) { t.rampStart = max(b.now, t.health.ejectedUntil) }

// rampLeft returns the time until the slow start ends, or 0 if it has ended.
func (b *Balancer) rampLeft(t *target) time.Duration {
	return max(0, t.rampStart+b.options.SlowStart-b.now)
}
