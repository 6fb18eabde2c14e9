package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// warmupRate is the rate of requests that a cold target tolerates, warmupTime how long it
	// stays cold. A target gets several times that rate while it is warm.
	warmupRate = 4
	warmupTime = 4 * time.Second
	// coldSlowdown is the time that work takes on a cold target, as a multiple of the usual.
	coldSlowdown = 2
	// warmupOverage and warmupAllowance bound the requests to a cold target in a second.
	warmupOverage   = 1.5
	warmupAllowance = 8
)

// returnCold takes all targets of a failure domain down and brings them back cold. Their
// entries say nothing of it.
func (f *fleet) returnCold(ctx context.Context, r *rand.Rand) {
	domain := domains[r.IntN(len(domains))]
	var lost []*target
	for _, t := range f.targets {
		if t.currentEntry().FailureDomain == domain && t.eventLock.TryLock() { // else another event goes on there
			defer t.eventLock.Unlock()
			lost = append(lost, t)
			t.proxy.setState(proxyState{resetNew: true})
			t.proxy.reset()
		}
	}
	backoff.Sleep(ctx, randomDuration(r, 2*time.Second))
	for _, t := range lost {
		t.update(func(_ *catalog.Target, b *behaviour) {
			*b = behaviour{slowdown: coldSlowdown, coldUntil: f.now() + warmupTime}
		})
		t.proxy.setState(proxyState{})
	}
	backoff.Sleep(ctx, warmupTime)
	for _, t := range lost {
		t.update(func(_ *catalog.Target, b *behaviour) { *b = behaviour{} })
	}
}

// sendsToColdTargets checks that a cold target gets no more requests in any second than its
// service tolerates.
func (e *evidence) sendsToColdTargets() (violations []string) {
	byTarget := make(map[string][]time.Duration)
	for _, r := range e.recorder.arrivals {
		if r.cold && !r.rejected {
			byTarget[r.target] = append(byTarget[r.target], r.arrivedAt)
		}
	}
	const allowed = warmupRate*warmupOverage + warmupAllowance
	for target, times := range byTarget {
		slices.Sort(times)
		for i, from := range times {
			stalled := slices.ContainsFunc(e.stalls, func(s faultWindow) bool { return s.from <= from+time.Second && s.to >= from })
			if n := countWithin(times[i:], from, from+time.Second); n > allowed && !stalled {
				violations = append(violations, fmt.Sprintf("%d requests at %s in a second from %v, allowed %d", n, target, from, int(allowed)))
				break
			}
		}
	}
	return violations
}
