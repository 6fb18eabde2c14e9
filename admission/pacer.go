package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter prevents retries within the same short overload.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the time, before jitter, in a long overload.
	maxRetryAfter = 10 * time.Second
	// retryShare is the rate of retries by refused callers, as a share of the
	// instance's service rate.
	retryShare = 0.5
)

// RetryPacer chooses the Retry-After times of refused callers. It spaces their
// retries so that they arrive at half of the service rate instead of all at once;
// the more callers are refused, the later the retries.
type RetryPacer struct {
	rand        *rand.Rand
	bookedUntil time.Duration
}

// NewRetryPacer returns a pacer without refusals.
func NewRetryPacer(r *rand.Rand) *RetryPacer { return &RetryPacer{rand: r} }

// RetryAfter returns the time after which one refused caller should retry; interval
// is the mean time between two completed requests.
func (s *RetryPacer) RetryAfter(now, interval time.Duration) time.Duration {
	s.bookedUntil = max(s.bookedUntil, now) + time.Duration(float64(interval)/retryShare)
	s.bookedUntil = min(s.bookedUntil, now+maxRetryAfter)
	return s.Jitter(minRetryAfter + s.bookedUntil - now)
}

// Jitter returns a random time between half and one and a half of base.
func (s *RetryPacer) Jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(s.rand.Int64N(int64(base)+1))
}
