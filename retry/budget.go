package retry

import "time"

const (
	// sendCost and tokenGain make one extra send per ten requests.
	sendCost      = 10
	requestCredit = 1
	// maxTokens holds one extra send. A larger store would allow a burst after
	// the requests that filled it have left the 10 s that are looked at.
	maxTokens = sendCost
	// meanIntervalWeight is the weight of a new sample in the mean time between
	// requests.
	meanIntervalWeight = 1.0 / 32
)

// Budget is the shared budget of retries and hedged requests of a pool. In
// every span of time, of any length, it grants at most one tenth of the
// requests of that span plus one. It starts empty.
type Budget struct {
	tokens       int
	meanInterval float64 // mean nanoseconds between requests
	lastRequest  time.Duration
	requests     uint64
}

// Request counts the first send of a request.
func (b *Budget) Request(now time.Duration) {
	b.tokens = min(maxTokens, b.tokens+requestCredit)
	b.requests++
	if b.requests > 1 {
		weight := max(meanIntervalWeight, 1/float64(b.requests-1))
		b.meanInterval += weight * (float64(now-b.lastRequest) - b.meanInterval)
	}
	b.lastRequest = now
}

// Available reports whether an extra send is within the budget.
func (b *Budget) Available() bool { return b.tokens >= sendCost }

// Take spends one extra send. It reports false when the budget has none.
func (b *Budget) Take() bool {
	if !b.Available() {
		return false
	}
	b.tokens -= sendCost
	return true
}

// Wait returns the time until an extra send is likely to be within the budget,
// with others waiting for it before.
func (b *Budget) Wait(others int) time.Duration {
	missing := (others+1)*sendCost - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.requests < 2 {
		return time.Hour
	}
	return time.Duration(min(float64(missing)*b.meanInterval/requestCredit, float64(time.Hour)))
}
