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
func (p *RetryPacer) RetryAfter(now, interval time.Duration) time.Duration {
	p.bookedUntil = max(p.bookedUntil, now) + time.Duration(float64(interval)/retryShare)
	p.bookedUntil = min(p.bookedUntil, now+maxRetryAfter)
	return p.Jitter(minRetryAfter + p.bookedUntil - now)
}

// Jitter returns a random time between half and one and a half of base.
func (p *RetryPacer) Jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(p.rand.Int64N(int64(base)+1))
}
