package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// recheckInterval is the time between two rounds of probes to targets of unreachable
// services. With probeTimeout it bounds for how long this instance misses that they answer again.
const recheckInterval = 100 * time.Millisecond

// answered records that a target answered. It runs in the loop's goroutine.
func (s *scheduler) answered(now time.Duration, id catalog.Incarnation) {
	regained, after := s.placer.Answered(now, id)
	if !regained {
		return
	}
	s.log.Info("targets of a service answer again", "target", id.ID, "unreachable_ms", after.Milliseconds())
	s.publishReachability(now)
}

// silent records that a target did not answer an exchange that began at sentAt. It runs in
// the loop's goroutine.
func (s *scheduler) silent(now, sentAt time.Duration, id catalog.Incarnation) {
	if !s.placer.Silent(now, sentAt, id) {
		return
	}
	s.log.Warn("no target of a service answers", "target", id.ID, "sent_ms_ago", (now - sentAt).Milliseconds())
	s.publishReachability(now)
	select {
	case s.lost <- struct{}{}:
	default: // a value is waiting
	}
}

// publishReachability publishes which services are unreachable. It runs in the loop's
// goroutine.
func (s *scheduler) publishReachability(now time.Duration) {
	before, list := s.unreachableServices(), s.placer.UnreachableServices()
	for service := range list {
		if !before[service] {
			s.metrics.Unreachable(service, true)
		}
	}
	for service := range before {
		if !list[service] {
			s.metrics.Unreachable(service, false)
		}
	}
	s.unreachable.Store(&list)
	if cutOff := s.placer.CutOff(now); cutOff != s.cutOff.Swap(cutOff) {
		s.log.Warn("path to targets changed", "cut_off", cutOff, "unreachable_services", len(list))
	}
}

// unreachableServices returns the services of which no target answers. It is safe for
// concurrent use.
func (s *scheduler) unreachableServices() map[string]bool {
	if list := s.unreachable.Load(); list != nil {
		return *list
	}
	return nil
}

// recheck returns the targets to probe since services are unreachable, none if all answer.
func (s *scheduler) recheck(ctx context.Context) ([]*catalog.Target, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) []*catalog.Target {
		s.publishReachability(now)
		return s.placer.RecheckTargets(now)
	})
}

// watchReachability probes targets of unreachable services until the context ends: requests
// do not show when targets answer again if other instances serve them.
func (g *Gateway) watchReachability(ctx context.Context) {
	for {
		select {
		case <-g.scheduler.lost:
		case <-ctx.Done():
			return
		}
		for len(g.scheduler.unreachableServices()) > 0 && ctx.Err() == nil {
			targets, err := g.scheduler.recheck(ctx)
			if err != nil {
				return // the scheduler has stopped
			}
			var round sync.WaitGroup
			for _, t := range targets {
				round.Go(func() {
					_ = contain.Run("recheck", g.options.OnPanic, func() { g.scheduler.recordProbe(t.Incarnation(), g.sendProbe(ctx, t)) })
				})
			}
			round.Wait()
			backoff.Sleep(ctx, recheckInterval)
		}
	}
}
