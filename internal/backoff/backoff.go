package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff produces exponentially growing pauses with jitter between unsuccessful
// calls. It is not safe for concurrent use.
type Backoff struct {
	// Min is the first pause before jitter.
	Min time.Duration
	// Max is the maximum pause before jitter.
	Max time.Duration
	// Rand is the source of jitter. Default: the global source.
	Rand *rand.Rand

	// base is the last pause before jitter, 0 before the first.
	base time.Duration
}

// Next returns the next pause: 0.5 to 1.5 times a base that starts at Min and
// doubles with each call up to Max. The jitter prevents instances whose calls fail at
// the same time from retrying at the same time.
func (b *Backoff) Next() time.Duration {
	b.base = min(max(2*b.base, b.Min), b.Max)
	return Jitter(b.Rand, b.base)
}

// Reset restarts the pauses at Min, usually after a successful call.
func (b *Backoff) Reset() { b.base = 0 }

// Jitter returns a random duration from d/2 to 3d/2, or 0 if d is not positive. A nil
// r means the global source of math/rand/v2.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if r != nil {
		return d/2 + time.Duration(r.Int64N(int64(d)))
	}
	return d/2 + rand.N(d)
}

// Sleep returns after d or when the context ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
