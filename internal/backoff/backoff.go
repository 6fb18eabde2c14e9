package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff produces growing, jittered pauses between calls that bring nothing.
type Backoff struct {
	// Min is the first pause before jitter.
	Min time.Duration
	// Max bounds the pause before jitter.
	Max time.Duration
	// Rand is the source of jitter. Default the global source.
	Rand *rand.Rand

	base time.Duration
}

// Next returns the next pause: between half and one and a half times a base
// that doubles with each call. The jitter keeps instances that fail together
// from calling together.
func (b *Backoff) Next() time.Duration {
	b.base = min(max(2*b.base, b.Min), b.Max)
	return Jitter(b.Rand, b.base)
}

// Reset makes the next pause start at Min again.
func (b *Backoff) Reset() { b.base = 0 }

// Jitter returns a duration from d/2 to 3d/2. Without r it uses the global source.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if r != nil {
		return d/2 + time.Duration(r.Int64N(int64(d)))
	}
	return d/2 + rand.N(d)
}

// Sleep waits for d or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
