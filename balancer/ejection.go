package balancer

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 3
	// errorGain is the weight of a new outcome in a target's error rate. Three
	// failures in a row bring it to 0.78.
	errorGain = 0.4
	// poolErrorGain is the weight of a new outcome in the pool's error rate.
	poolErrorGain = 1.0 / 64
	// ejectMargin is how far a target's error rate must lie above the pool's
	// before error answers eject it. When every target returns errors, the fault
	// lies in the requests and ejection would only remove capacity.
	ejectMargin = 0.25
	// shedErrorWeight is what a shed request counts for in the error rate.
	shedErrorWeight = 0.5
	// errorDecaySeconds is the time constant in seconds of the error rate without work.
	errorDecaySeconds = 2.0
	// suspectTimePerFailure is how long a target is avoided after a failure, per failure.
	suspectTimePerFailure = 200 * time.Millisecond
	// suspectCostFactor multiplies the cost of a target that failed last.
	suspectCostFactor = 8.0
	// baseEjection doubles with each ejection in a row up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
)

// health is the record of a target's failures.
type health struct {
	consecutiveErrors    int // consecutive error answers
	consecutiveBroken    int // consecutive connection failures
	lastRate             float64
	lastRateAt           time.Duration
	suspectUntil         time.Duration
	ejectedUntil         time.Duration
	consecutiveEjections int // in a row
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }
func (h *health) suspect(now time.Duration) bool { return now < h.suspectUntil }

// errorRate is the share of recent requests that failed.
func (h *health) errorRate(now time.Duration) float64 {
	if h.lastRate < 0.01 {
		return 0
	}
	return h.lastRate * decay((now-h.lastRateAt).Seconds()/errorDecaySeconds)
}

// penalty multiplies the cost of the target.
func (h *health) penalty(now time.Duration) float64 {
	if h.lastRate < 0.01 && h.suspectUntil <= now {
		return 1
	}
	successRate := max(0.1, 1-h.errorRate(now))
	p := 1 / (successRate * successRate)
	if h.suspect(now) {
		p *= suspectCostFactor
	}
	return p
}

func (h *health) recordOutcome(now time.Duration, failed float64) {
	rate := h.errorRate(now)
	h.lastRate, h.lastRateAt = rate+errorGain*(failed-rate), now
}

// recordSuccess takes an answer that is not an error.
func (b *Balancer) recordSuccess(t *target) {
	t.health.recordOutcome(b.now, 0)
	b.averages.errorRate -= poolErrorGain * b.averages.errorRate
	t.health.consecutiveErrors = 0
	if t.health.consecutiveBroken == 0 {
		t.health.suspectUntil = 0
		if b.rampedUp(t) {
			t.health.consecutiveEjections = 0
		}
	}
}

// recordFailure takes an error answer, or with broken a connection failure.
func (b *Balancer) recordFailure(t *target, broken bool) {
	h := &t.health
	if broken {
		h.consecutiveBroken++
	} else {
		h.consecutiveErrors++
	}
	h.recordOutcome(b.now, 1)
	b.averages.errorRate += poolErrorGain * (1 - b.averages.errorRate)
	b.suspect(t)
	if h.consecutiveErrors+h.consecutiveBroken < ejectAfter || h.ejected(b.now) {
		return
	}
	if broken || h.errorRate(b.now) >= b.averages.errorRate+ejectMargin {
		b.eject(t)
	}
}

// suspect lowers the preference for a target for a short time. A failed probe
// does only this: a broken load endpoint alone ejects no target that works.
func (b *Balancer) suspect(t *target) {
	failures := max(1, t.health.consecutiveErrors+t.health.consecutiveBroken)
	t.health.suspectUntil = b.now + min(time.Duration(failures)*suspectTimePerFailure, baseEjection)
}

// eject takes the target out of selection unless half of the pool is out already.
// A target returns by slow start, one failure away from the next ejection.
func (b *Balancer) eject(t *target) {
	if b.ejectedCount()+1 > b.maxEjected() {
		return
	}
	h := &t.health
	length := min(baseEjection<<min(h.consecutiveEjections, 5), maxEjection)
	// Random lengths keep the instances from returning at the same time.
	length += time.Duration(b.rand.Float64() * float64(length) / 4)
	h.consecutiveEjections++
	h.ejectedUntil = b.now + length
	h.consecutiveErrors, h.consecutiveBroken = ejectAfter-1, 0
	t.rampStart = h.ejectedUntil
}

// maxEjected is half of the targets of this instance that are not draining.
func (b *Balancer) maxEjected() int {
	n := 0
	for _, t := range b.subset {
		if !t.drainSignals.any() {
			n++
		}
	}
	return n / 2
}

func (b *Balancer) ejectedCount() int {
	n := 0
	for _, t := range b.subset {
		if !t.drainSignals.any() && t.health.ejected(b.now) {
			n++
		}
	}
	return n
}

// enforceEjectionLimit ends the ejections that end first when other targets
// drain or leave and more than half of the rest would be ejected.
func (b *Balancer) enforceEjectionLimit() {
	for n := b.ejectedCount() - b.maxEjected(); n > 0; n-- {
		var first *target
		for _, t := range b.subset {
			if !t.drainSignals.any() && t.health.ejected(b.now) &&
				(first == nil || t.health.ejectedUntil < first.health.ejectedUntil) {
				first = t
			}
		}
		first.health.ejectedUntil = b.now
		first.rampStart = b.now
	}
}
