package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// acceptShare is the part of the time for a stop in which new requests are
	// still served: callers keep the answers of resolve for a while.
	acceptShare = 0.5
	// shutdownMargin is how long before the end of the time for a stop the process
	// ends by itself.
	shutdownMargin = 300 * time.Millisecond
)

// Stop starts a planned stop. It may be called more than once.
func (n *Node) Stop() {
	if n.stopped.CompareAndSwap(false, true) {
		close(n.stop)
	}
}

// Run serves until a planned stop is over or the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.options.Log.Info("start", "instance", n.options.Settings.ID, "failure_domain", n.options.Settings.FailureDomain,
		"callers", n.options.Settings.Addresses.Callers, "store", n.options.Settings.StoreAddress)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.fleet.Run(ctx) })
	group.Go(func() error { n.gateway.Run(ctx); return nil })
	for _, s := range n.servers {
		group.Go(s.serve)
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-n.stop:
			n.drain(ctx)
		case <-ctx.Done():
		}
		for _, s := range n.servers {
			_ = s.http.Close() // the process ends
		}
		return nil
	})
	err := group.Wait()
	n.options.Log.Info("stop", "in_flight", n.gateway.InFlight())
	if closeErr := n.metrics.Close(); err == nil && closeErr != nil {
		return errors.Wrap(closeErr, "close metrics")
	}
	return err
}

// drain ends the service: peers stop naming this instance, callers that still
// come are served and told to close, and requests in progress are completed.
func (n *Node) drain(ctx context.Context) {
	limit := n.settings.Load().Bounds.ShutdownTimeout - shutdownMargin
	n.options.Log.Info("stop requested", "in_flight", n.gateway.InFlight(), "limit_ms", limit.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n.gateway.Stop()
	n.fleet.Leave()
	backoff.Sleep(ctx, time.Duration(acceptShare*float64(limit)))
	for _, s := range n.servers {
		if err := s.shutdown(ctx); err != nil {
			n.options.Log.Warn("stop cut requests", "error", err.Error(), "in_flight", n.gateway.InFlight())
		}
	}
}
