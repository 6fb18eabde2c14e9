package faults_test

import (
	"sync"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

const (
	// watchInterval is the time between two looks at the clock.
	watchInterval = 10 * time.Millisecond
	// refreshTime is how long after a pause instances may still refuse requests.
	refreshTime = time.Second
)

// pauseWatcher records when the process of the test, and with it all instances and callers,
// did not run. Instances refuse requests as "not run" after a pause of
// membership.PauseGap, until they have refreshed their state, and callers find instances
// gone whose lists have expired in the pause.
type pauseWatcher struct {
	mu     sync.Mutex
	pauses []pause
}

type pause struct{ from, to time.Time }

// watchPauses watches until the end of the test.
func watchPauses(t *testing.T) *pauseWatcher {
	w := new(pauseWatcher)
	ticker, ended := time.NewTicker(watchInterval), make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for last := time.Now(); ; {
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
			now := time.Now()
			if now.Sub(last) > membership.PauseGap/2 { // an instance counts from its own last event
				w.mu.Lock()
				w.pauses = append(w.pauses, pause{last, now})
				w.mu.Unlock()
				t.Logf("the process did not run for %v", now.Sub(last))
			}
			last = now
		}
	})
	t.Cleanup(func() { ticker.Stop(); close(ended); watcher.Wait() })
	return w
}

// explains reports whether a recorded pause is the reason why a call was refused, or found
// no instance, as "not run".
func (w *pauseWatcher) explains(call *checker.Call) bool {
	stale := call.Outcome == checker.Refused && call.Kind == refusal.StaleView
	if !stale && call.Outcome != checker.Failed || call.Execution != refusal.NotRun {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pauses {
		if call.Start.Before(p.to.Add(refreshTime)) && call.End.After(p.from) {
			return true
		}
	}
	return false
}
