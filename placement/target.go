package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// firstSuspension is how long a target is suspended when it does not respond.
	// The time doubles with each further failure in a row, up to maxSuspension,
	// which is short because a crashed target restarts within seconds.
	firstSuspension = 300 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// failureHalfLife is the half-life of the failure rate of a target.
	failureHalfLife = 3 * time.Second
	// failurePenalty is the increase of the cost of a target with failure rate 1,
	// as a multiple of its expected time.
	failurePenalty = 6.0
	// illRisk is the failure rate that is assumed for a target that calls itself ill,
	// until it completes a request. Health answers may be false either way, so such a
	// target is used only if the others are much slower or full.
	illRisk = 0.5
	// illRetention is how long an answer to a probe counts, and provenTime how long a
	// completed request.
	illRetention = 5 * time.Second
	provenTime   = 5 * time.Second
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.4
)

// target is the state that the placer keeps of one incarnation of a target.
type target struct {
	*catalog.Target
	order      uint64 // see Placer.order
	removedIn  uint64 // value of Placer.generation when it was last removed from a list
	lastReport Report
	// probeSent is when the last probe was sent.
	probeSent time.Duration
	// warmUntil is when its warm-up ends.
	warmUntil time.Duration
	// sendTimes holds the send times of the requests in flight.
	sendTimes []time.Duration
	// failures is a moving average of the failure rate, as of failuresAt.
	failures   float64
	failuresAt time.Duration
	// consecutiveFailures counts the probes and connections that failed in a row.
	consecutiveFailures int
	suspendedUntil      time.Duration
	// illUntil is until when the answer to a probe counts that called the target ill,
	// and provenUntil until when a completed request counts more than that.
	illUntil, provenUntil time.Duration
	// advisedAt is when the target last told which requests it wants, or was to be asked
	// again. leaving, limit and pausedUntil are what it told.
	advisedAt   time.Duration
	leaving     said
	limit       rateLimit
	warmup      warmup
	pausedUntil time.Duration
}

// maxProbeTime is the time after which a probe without an answer has ended.
const maxProbeTime = 50 * time.Millisecond

// exchanges returns 0 if this instance has no request and no probe in progress at the
// target, so that its connection is free, else 1. The target is then probed only if others
// do not suffice: a probe would need one more connection, and a request in progress takes
// room.
func (t *target) exchanges(now time.Duration) int {
	probed := t.probeSent > t.lastReport.At && now-t.probeSent < maxProbeTime
	if len(t.sendTimes) > 0 || probed {
		return 1
	}
	return 0
}

// sentSince returns the number of requests in flight that were sent after a time.
func (t *target) sentSince(at time.Duration) int {
	n := 0
	for _, sent := range t.sendTimes {
		if sent > at {
			n++
		}
	}
	return n
}

// failureRate returns the moving average of the failure rate, from 0 to 1. It
// decays with time.
func (t *target) failureRate(now time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * decay(now-t.failuresAt, failureHalfLife)
}

func (t *target) recordOutcome(now time.Duration, failed bool) {
	rate := t.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
		t.provenUntil = 0
	} else {
		t.provenUntil = now + provenTime
	}
	t.failures, t.failuresAt = rate, now
}

// risk returns the expected failure rate of the next request: that of the last ones,
// or illRisk if the target calls itself ill and has completed none.
func (t *target) risk(now time.Duration) float64 {
	rate := t.failureRate(now)
	if now < t.illUntil && now >= t.provenUntil {
		return max(rate, illRisk)
	}
	return rate
}

// recordNoResponse suspends the target after a probe or a connection failed.
func (t *target) recordNoResponse(now time.Duration) {
	t.consecutiveFailures++
	pause := firstSuspension << min(t.consecutiveFailures-1, 3)
	t.suspendedUntil = now + min(pause, maxSuspension)
	t.warmup.mayHaveBecomeCold(now)
}

// recordResponse ends the suspension of the target.
func (t *target) recordResponse() { t.consecutiveFailures, t.suspendedUntil = 0, 0 }

// recordHealth stores whether the target calls itself ill.
func (t *target) recordHealth(now time.Duration, ill bool) {
	t.illUntil = 0
	if ill {
		t.illUntil = now + illRetention
	}
}
