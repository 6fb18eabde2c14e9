package placement

import "time"

const (
	// probeMargin is the part of the fleet-wide probe limit that is divided among
	// the instances.
	probeMargin = 0.9
	// maxProbeShare limits the part of one instance. An instance that has just
	// started, or is cut off from the others, does not know how many there are.
	maxProbeShare = 0.25
	// probeBurst is the size of the token bucket, in seconds of the instance's
	// rate. It covers crests of the load.
	probeBurst = 2.0
	// initialProbes is the content of the bucket at the start, in seconds of the
	// rate. A full bucket would exceed the limit when all instances restart.
	initialProbes = 0.2
	// waitingReserve is the part of the bucket that is kept for requests that have
	// just arrived. Requests that wait for room use the rest.
	waitingReserve = 0.5
)

// probeBudget is a token bucket for this instance's share of the probe limit.
type probeBudget struct {
	// rate is in probes per second; 0 means no limit.
	rate       float64
	tokens     float64
	refilledAt time.Duration
}

// setRate changes the rate, and fills the bucket to initialProbes after a change
// from no limit.
func (b *probeBudget) setRate(now time.Duration, rate float64) {
	if b.rate == 0 {
		b.tokens, b.refilledAt = initialProbes*rate, now
	}
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, probeBurst*rate)
}

func (b *probeBudget) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), probeBurst*b.rate)
	b.refilledAt = now
}

// take returns how many of n probes may be sent, and uses the tokens for them. It
// leaves the part reserve of a full bucket.
func (b *probeBudget) take(now time.Duration, n int, reserve float64) int {
	if b.rate == 0 {
		return n
	}
	b.refill(now)
	n = max(0, min(n, int(b.tokens-reserve*probeBurst*b.rate)))
	b.tokens -= float64(n)
	return n
}
