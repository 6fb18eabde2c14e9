package balancer

import "time"

const (
	// initialRampWeight is the share of its slots that a target starts with.
	initialRampWeight = 0.1
	// maxColdWeight bounds the weight while the target still reports cold.
	maxColdWeight = 0.5
)

// rampWeight is the share of its slots that a target may fill now.
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

// maxWeightCacheTime is how long the result of heaviest is reused. Weights change by
// less than a thousandth in this time, and looking at 560 targets in each Pick
// would not fit its time.
const maxWeightCacheTime = 5 * time.Millisecond

// maxRampWeight is the largest ramp weight among the targets that may receive work.
// Weights are relative to it: a pool that is cold as a whole still uses its slots.
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

// setCold keeps the target's report of being cold. The ramp starts with the first.
func (b *Balancer) setCold(t *target, cold bool) {
	if cold && !t.cold {
		b.startRamp(t)
	}
	t.cold = cold
}

func (b *Balancer) startRamp(t *target) { t.rampStart = max(b.now, t.health.ejectedUntil) }

// rampLeft is the time until the target has its full weight.
func (b *Balancer) rampLeft(t *target) time.Duration {
	return max(0, t.rampStart+b.options.SlowStart-b.now)
}
