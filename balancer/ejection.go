package balancer

import "time"

const (
	// ejectAfter is the number of consecutive failures after which a target is
	// ejected.
	ejectAfter = 3
	// errorGain is the weight of a new outcome in the error rate of a target.
	// Three failures in a row raise the rate to 0.78.
	errorGain = 0.4
	// poolErrorGain is the weight of a new outcome in the error rate of the
	// pool.
	poolErrorGain = 1.0 / 64
	// ejectMargin is how far the error rate of a target must exceed that of the
	// pool before error responses eject it. If every target returns errors, the
	// requests are at fault and ejection would only remove capacity.
	ejectMargin = 0.25
	// shedErrorWeight is the failure value of a shed request in the error rate.
	shedErrorWeight = 0.5
	// errorDecaySeconds is the time constant in seconds with which the error
	// rate decays without requests.
	errorDecaySeconds = 2.0
	// suspectTimePerFailure is how long a target is avoided after a failure,
	// per consecutive failure.
	suspectTimePerFailure = 200 * time.Millisecond
	// suspectCostFactor multiplies the cost of a suspect target.
	suspectCostFactor = 8.0
	// baseEjection is the length of the first ejection. It doubles with each
	// consecutive ejection up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
)

// health tracks the failures of a target.
type health struct {
	consecutiveErrors    int // error responses
	consecutiveBroken    int // connection failures
	lastRate             float64
	lastRateAt           time.Duration
	suspectUntil         time.Duration
	ejectedUntil         time.Duration
	consecutiveEjections int
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }
func (h *health) suspect(now time.Duration) bool { return now < h.suspectUntil }

// errorRate returns the moving average of failures, from 0 to 1, decayed to
// now.
func (h *health) errorRate(now time.Duration) float64 {
	if h.lastRate < 0.01 {
		return 0
	}
	return h.lastRate * decay((now-h.lastRateAt).Seconds()/errorDecaySeconds)
}

// penalty returns the factor, at least 1, by which failures raise the target's
// cost.
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

// recordOutcome adds an outcome to the error rate. failed is from 0, a success,
// to 1, a failure.
func (h *health) recordOutcome(now time.Duration, failed float64) {
	rate := h.errorRate(now)
	h.lastRate, h.lastRateAt = rate+errorGain*(failed-rate), now
}

// recordSuccess handles a successful response of the target.
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

// recordFailure handles an error response, or a connection failure if broken is
// true. It ejects the target after ejectAfter consecutive failures, unless
// these are error responses and the whole pool returns errors as well.
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

// suspect makes the target less preferred for a short time. A failed probe has
// no other effect: a broken load endpoint alone must not eject a target that
// works.
func (b *Balancer) suspect(t *target) {
	failures := max(1, t.health.consecutiveErrors+t.health.consecutiveBroken)
	t.health.suspectUntil = b.now + min(time.Duration(failures)*suspectTimePerFailure, baseEjection)
}

// eject ejects the target, unless half of the pool is ejected already. The
// target returns by slow start, and one more failure ejects it again.
func (b *Balancer) eject(t *target) {
	if b.ejectedCount()+1 > b.maxEjected() {
		return
	}
	h := &t.health
	length := min(baseEjection<<min(h.consecutiveEjections, 5), maxEjection)
	// Random lengths keep the instances from using the target again all at once.
	length += time.Duration(b.rand.Float64() * float64(length) / 4)
	h.consecutiveEjections++
	h.ejectedUntil = b.now + length
	h.consecutiveErrors, h.consecutiveBroken = ejectAfter-1, 0
	t.rampStart = h.ejectedUntil
}

// maxEjected returns the largest allowed number of ejected targets: half of the
// targets of this instance that are not draining, rounded down.
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

// enforceEjectionLimit ends ejections, those that end soonest first, while more
// than maxEjected targets are ejected. That happens when other targets drain or
// are removed.
func (b *Balancer) enforceEjectionLimit() {
	for n := b.ejectedCount() - b.maxEjected(); n > 0; n-- {
		var soonest *target
		for _, t := range b.subset {
			if !t.drainSignals.any() && t.health.ejected(b.now) &&
				(soonest == nil || t.health.ejectedUntil < soonest.health.ejectedUntil) {
				soonest = t
			}
		}
		soonest.health.ejectedUntil = b.now
		soonest.rampStart = b.now
	}
}
