package gateway

import (
	"context"
	"time"
)

const (
	// gapTick is the interval at which a gapWatch looks at the clock.
	gapTick = 250 * time.Millisecond
	// gapAfter is the time without a tick from which the process counts as held up. With the
	// system's default period of 100 ms, one with a tenth of a processor pauses for 90 ms.
	gapAfter = 3 * gapTick
	// gapGrace is the time after a gap in which callers have not had the time to take what
	// was not written during it.
	gapGrace = time.Second
)

// gapWatch sees times in which the process did not run. Callers that took nothing then are not
// slow. The lock of the memory limit guards it; the zero value reports no gap.
type gapWatch struct {
	now     func() time.Duration
	running bool
	tick    time.Duration // the last one
	gapEnd  time.Duration // of the last gap, valid if gap is set
	gap     bool
}

// look records a tick.
func (w *gapWatch) look() {
	now := w.now()
	if w.running && now-w.tick > gapAfter {
		w.gap, w.gapEnd = true, now
	}
	w.running, w.tick = true, now
}

// inGap reports whether the process has not run lately, or did so less than gapGrace ago.
func (w *gapWatch) inGap() bool {
	if !w.running {
		return false
	}
	now := w.now()
	return now-w.tick > gapAfter || w.gap && now-w.gapEnd < gapGrace
}

// watchGaps ticks until the context ends.
func (l *memoryLimit) watchGaps(ctx context.Context) {
	ticker := time.NewTicker(gapTick)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		l.gaps.look()
		l.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.mu.Lock()
			l.gaps.running = false
			l.mu.Unlock()
			return
		}
	}
}
