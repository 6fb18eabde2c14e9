package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// acceptShare is the share of the shutdown time during which new requests are
	// still accepted, since callers use the addresses of resolve for a while.
	acceptShare = 0.5
	// lastRequestWait is how long after the last connection is accepted its request is
	// still served. Later ones are refused, since they might not end in time.
	lastRequestWait = 200 * time.Millisecond
	// reportTimeout bounds the time at the end of the drain for the last failure reports:
	// the check of a target and one exchange with a peer. They get minReportTimeout, out of
	// shutdownMargin, if requests have taken the whole drain.
	reportTimeout    = 700 * time.Millisecond
	minReportTimeout = 150 * time.Millisecond
	// lastResponseMargin is the time in which the response to a request that was taken
	// during the stop and has used all its time is written to its caller.
	lastResponseMargin = 100 * time.Millisecond
	// shutdownMargin is the time between the end of the drain and the platform's
	// shutdown timeout, after which the platform kills the process.
	shutdownMargin = 300 * time.Millisecond
)

// Stop starts a planned shutdown and returns at once. It may be called more than once
// and from any goroutine.
func (n *Node) Stop() {
	if n.stopped.CompareAndSwap(false, true) {
		close(n.stop)
	}
}

// Run serves until a planned shutdown is complete, the context ends or a server
// fails. A planned shutdown drains requests first; the end of the context does not.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.relay.Close()
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
			_ = s.http.Close() // cuts the requests that are still in progress
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

// drainTime returns how long a planned shutdown may wait for requests in progress.
func (s *Settings) drainTime() time.Duration { return s.Bounds.ShutdownTimeout - shutdownMargin }

// acceptTime returns how long after the begin of a planned shutdown connections are
// accepted.
func (s *Settings) acceptTime() time.Duration {
	return max(0, time.Duration(acceptShare*float64(s.drainTime()))-lastRequestWait)
}

// drain makes peers remove this instance from the lists for callers, serves new
// requests for a while and asks their callers to close the connection, accepts the
// connections that are queued, then refuses new requests and waits for those in progress,
// and passes on the last failure reports, all within the shutdown timeout. Requests that
// may not be complete by then are refused from the start.
func (n *Node) drain(ctx context.Context) {
	settings := n.settings.Load()
	limit := settings.drainTime()
	n.options.Log.Info("shutdown requested, draining", "in_flight", n.gateway.InFlight(), "limit_ms", limit.Milliseconds())
	end := time.Now().Add(limit)
	reports := ctx
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.gateway.Stop(n.now() + limit - lastResponseMargin)
	n.fleet.Leave()
	backoff.Sleep(ctx, settings.acceptTime())
	for _, s := range n.servers {
		if err := s.stopAccepting(ctx); err != nil {
			n.options.Log.Warn("drain of accepted connections incomplete", "server", s.name, "error", err.Error())
		}
	}
	backoff.Sleep(ctx, lastRequestWait)
	n.gateway.RefuseNew()
	for _, s := range n.servers {
		if err := s.shutdown(ctx); err != nil {
			n.options.Log.Warn("server shutdown incomplete, requests in progress are cut", "error", err.Error(), "in_flight", n.gateway.InFlight())
		}
	}
	n.gateway.AwaitRequests(ctx) // those that other instances relay
	reports, cancelReports := context.WithTimeout(reports, min(reportTimeout, max(minReportTimeout, time.Until(end))))
	defer cancelReports()
	n.gateway.AwaitCrashChecks(reports)
	n.fleet.FlushReports(reports)
}
