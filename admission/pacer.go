package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter keeps a caller from coming back within the same overload.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the advice in a long overload.
	maxRetryAfter = 10 * time.Second
	// retryShare is the share of the instance's service rate that refused
	// callers may come back with.
	retryShare = 0.5
)

// RetryPacer advises refused callers when to come back. Each refusal books a place
// in time behind the one before, at half of the service rate, so that refused
// callers return as a trickle and later the more of them there are.
type RetryPacer struct {
	rand        *rand.Rand
	bookedUntil time.Duration
}

// NewRetryPacer returns a spread without bookings.
func NewRetryPacer(r *rand.Rand) *RetryPacer { return &RetryPacer{rand: r} }

// RetryAfter returns the advice for one refused caller; interval is the mean time
// between two completions.
func (s *RetryPacer) RetryAfter(now, interval time.Duration) time.Duration {
	s.bookedUntil = max(s.bookedUntil, now) + time.Duration(float64(interval)/retryShare)
	s.bookedUntil = min(s.bookedUntil, now+maxRetryAfter)
	return s.Jitter(minRetryAfter + s.bookedUntil - now)
}

// Jitter returns a time from half to one and a half of base.
func (s *RetryPacer) Jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(s.rand.Int64N(int64(base)+1))
}
