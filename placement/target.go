package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// firstSuspension and maxSuspension bound how long a target that does not
	// answer is left out. A crashed target is back within seconds.
	firstSuspension = 300 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// failureHalfLife is how fast failures of a target are forgiven.
	failureHalfLife = 3 * time.Second
	// failurePenalty multiplies the estimate of a target whose last requests all
	// failed.
	failurePenalty = 6.0
	// failureWeight is the weight of the last request in the failure rate.
	failureWeight = 0.4
)

// target is what this instance knows of one incarnation.
type target struct {
	*catalog.Target
	// lastReport is the latest load report.
	lastReport Report
	// warmUntil is when its warmUntil-up ends.
	warmUntil time.Duration
	// sendTimes holds the times of the requests sent and not ended.
	sendTimes []time.Duration
	// failures is a moving rate of failed requests, as of failuresAt.
	failures   float64
	failuresAt time.Duration
	// unanswered counts probes and connections that failed in a row.
	unanswered int
	// suspendedUntil is until when it is left out.
	suspendedUntil time.Duration
}

// sentSince counts the requests in flight that were sent after a moment.
func (t *target) sentSince(at time.Duration) int {
	n := 0
	for _, sent := range t.sendTimes {
		if sent > at {
			n++
		}
	}
	return n
}

// failureRate returns the moving rate of failed requests, forgiven with time.
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
	}
	t.failures, t.failuresAt = rate, now
}

// recordNoAnswer notes that the target did not answer a probe or a connection attempt.
func (t *target) recordNoAnswer(now time.Duration) {
	t.unanswered++
	pause := firstSuspension << min(t.unanswered-1, 3)
	t.suspendedUntil = now + min(pause, maxSuspension)
}

// recordAnswer notes that the target recordAnswer.
func (t *target) recordAnswer() { t.unanswered, t.suspendedUntil = 0, 0 }
