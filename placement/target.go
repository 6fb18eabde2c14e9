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
	// last is the latest load report.
	last Report
	// warm is when its warm-up ends.
	warm time.Duration
	// sends holds the times of the requests sent and not ended.
	sends []time.Duration
	// failures is a moving rate of failed requests, as of failuresAt.
	failures   float64
	failuresAt time.Duration
	// silent counts probes and connections that failed in a row.
	silent int
	// suspended is until when it is left out.
	suspended time.Duration
}

// sentSince counts the requests in flight that were sent after a moment.
func (t *target) sentSince(at time.Duration) int {
	n := 0
	for _, sent := range t.sends {
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
	return t.failures * halved(now-t.failuresAt, failureHalfLife)
}

func (t *target) observe(now time.Duration, failed bool) {
	rate := t.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	t.failures, t.failuresAt = rate, now
}

// missed notes that the target did not answer a probe or a connection attempt.
func (t *target) missed(now time.Duration) {
	t.silent++
	pause := firstSuspension << min(t.silent-1, 3)
	t.suspended = now + min(pause, maxSuspension)
}

// answered notes that the target answered.
func (t *target) answered() { t.silent, t.suspended = 0, 0 }
