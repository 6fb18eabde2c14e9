package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

const (
	// crashWitnesses is the number of other targets that are probed to find out whether this
	// instance reaches targets at all. Some may be down for reasons of their own.
	crashWitnesses = 3
	// partitionCheckInterval is the time between two such probes while there was no answer.
	partitionCheckInterval = 500 * time.Millisecond
	// maxPartition is the time after which a crash check is given up if no target answers: no
	// request can crash any meanwhile.
	maxPartition = 2 * time.Minute
)

// reachesOthers reports whether a target other than that of the report answers this instance, or
// has answered since a time. Those that failed under the same request do not count. It is true if
// there are no others: a single target is no sign of the path.
func (g *Gateway) reachesOthers(ctx context.Context, report quarantine.FailureReport, since time.Duration) bool {
	answered, others, err := g.scheduler.crashWitnesses(ctx, report, since)
	if err != nil || answered || len(others) == 0 {
		return true
	}
	var found atomic.Bool
	var all sync.WaitGroup
	for _, t := range others {
		all.Go(func() {
			answer := g.sendProbe(ctx, t)
			g.scheduler.recordProbe(t.Incarnation(), answer)
			if answer.advised {
				found.Store(true)
			}
		})
	}
	all.Wait()
	return found.Load()
}

// isDownAfterPartition waits until another target answers this instance, and reports whether
// the target of the report is down then, or has started again since.
func (g *Gateway) isDownAfterPartition(ctx context.Context, t *catalog.Target, report quarantine.FailureReport, broken bool) bool {
	began := g.options.Now()
	for !g.reachesOthers(ctx, report, began) {
		if g.options.Now()-began > maxPartition || g.stopping.Load() {
			return false
		}
		backoff.Sleep(ctx, partitionCheckInterval)
	}
	restarted := slices.ContainsFunc(g.options.View().Targets[t.Service], func(now *catalog.Target) bool {
		return now.ID == t.ID && now.Incarnation() != t.Incarnation()
	})
	return restarted || g.isDown(ctx, t, broken)
}

// crashWitnesses returns random targets that did not fail under the request of a report, and
// whether any target has answered since a time.
func (s *scheduler) crashWitnesses(ctx context.Context, report quarantine.FailureReport, since time.Duration) (answered bool, others []*catalog.Target, err error) {
	others, err = owner.Call(ctx, s.loop, func(now time.Duration) []*catalog.Target {
		answered = s.placer.AnsweredSince(since)
		return s.placer.RandomTargets(now, crashWitnesses, func(t *catalog.Target) bool {
			target := incarnationHash(t)
			return target != report.Target && !s.reports.Blames(report.Identity(), target)
		})
	})
	return answered, others, err
}
