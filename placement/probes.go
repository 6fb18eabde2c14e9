package placement

import "time"

const (
	// probeMargin is the part of the fleet-wide bound on probes that the shares of
	// all instances use.
	probeMargin = 0.9
	// probeBurst is how many seconds of its share an instance may use at once, for
	// the crest of a swing.
	probeBurst = 8.0
)

// probeBudget is this instance's share of the bound on probes.
type probeBudget struct {
	// rate is in probes a second; 0: no bound.
	rate       float64
	tokens     float64
	refilledAt time.Duration
}

// setRate takes over a share. The first one may be used at once.
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

// take returns how many of n probes may be sent.
func (b *probeBudget) take(now time.Duration, n int) int {
	if b.rate == 0 {
		return n
	}
	b.refill(now)
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}
