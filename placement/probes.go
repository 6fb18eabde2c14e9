package placement

import "time"

const (
	// probeMargin is the part of the fleet-wide probe limit that is divided among
	// the instances.
	probeMargin = 0.9
	// probeBurst is the size of the token bucket, in seconds of the instance's
	// rate. It covers load peaks.
	probeBurst = 8.0
)

// probeBudget is a token bucket for this instance's share of the probe limit.
type probeBudget struct {
	// rate is in probes per second; 0 means no limit.
	rate       float64
	tokens     float64
	refilledAt time.Duration
}

// setRate changes the rate. The bucket is full after a change from no limit.
func (b *probeBudget) setRate(now time.Duration, rate float64) {
	if b.rate == 0 {
		b.tokens, b.refilledAt = probeBurst*rate, now
	}
	b.refill(now)
	b.rate = rate
}

func (b *probeBudget) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), probeBurst*b.rate)
	b.refilledAt = now
}

// take returns how many of n probes may be sent, and uses the tokens for them.
func (b *probeBudget) take(now time.Duration, n int) int {
	if b.rate == 0 {
		return n
	}
	b.refill(now)
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}
