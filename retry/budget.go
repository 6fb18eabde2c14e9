package retry

import "time"

const (
	// attemptCost and requestCredit, in tokens, allow one extra attempt per ten
	// requests.
	attemptCost   = 10
	requestCredit = 1
	// maxTokens is enough for one extra attempt. A larger bucket would allow a burst
	// of extra attempts long after the requests that filled it, and so exceed the
	// budget of a later span of time, such as the last 10 s.
	maxTokens = attemptCost
	// meanIntervalWeight is the weight of a new sample in the mean time between
	// requests, once there are enough samples.
	meanIntervalWeight = 1.0 / 32
)

// Budget is the budget of extra attempts, which are the retries and hedged
// requests of a pool. In any span of time it grants at most one extra attempt, plus
// one per ten requests in that span. The zero value is an empty budget.
type Budget struct {
	tokens       int
	meanInterval float64 // nanoseconds between requests
	lastRequest  time.Duration
	requests     uint64
}

// Request counts the first attempt of a request.
func (b *Budget) Request(now time.Duration) {
	b.tokens = min(maxTokens, b.tokens+requestCredit)
	b.requests++
	if b.requests > 1 {
		weight := max(meanIntervalWeight, 1/float64(b.requests-1))
		b.meanInterval += weight * (float64(now-b.lastRequest) - b.meanInterval)
	}
	b.lastRequest = now
}

// Available reports whether an extra attempt is within the budget.
func (b *Budget) Available() bool { return b.tokens >= attemptCost }

// Take takes one extra attempt from the budget. It reports false when the budget
// does not allow one.
func (b *Budget) Take() bool {
	if !b.Available() {
		return false
	}
	b.tokens -= attemptCost
	return true
}

// Wait returns the expected time, at most an hour, until an extra attempt is within
// the budget. others is the number of requests that wait for an extra attempt and
// go first. The time is zero when the budget allows it now.
func (b *Budget) Wait(others int) time.Duration {
	missing := (others+1)*attemptCost - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.requests < 2 {
		return time.Hour
	}
	return time.Duration(min(float64(missing)*b.meanInterval/requestCredit, float64(time.Hour)))
}
