package soak

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// stallGap is the time without running from which this process, and probably the
	// instances beside it, could not keep the time limits of the invariants.
	stallGap = 200 * time.Millisecond
	// stallInterval is the time between two looks at the clock.
	stallInterval = 5 * time.Millisecond
)

// watchStalls records the stalls of the machine until the context ends.
func (f *fleet) watchStalls(ctx context.Context) {
	for last := f.now(); ctx.Err() == nil; {
		backoff.Sleep(ctx, stallInterval)
		now := f.now()
		if now-last > stallGap {
			f.recorder.addStall(faultWindow{from: last, to: now})
		}
		last = now
	}
}
