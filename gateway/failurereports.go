package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Origins of failure reports, as written to metrics.
const (
	originSelf = "self"
	originPeer = "peer"
)

// crashCheckDelay is the time from a broken attempt to the probe that checks whether
// the target crashed. A crashed target is down for some seconds; one that only reset
// the connection or sent an invalid response answers at once.
const crashCheckDelay = 50 * time.Millisecond

// identity returns what the request has in common with others that count as the same. It is
// computed once, since it reads the whole body.
func (x *exchange) identity() quarantine.Identity {
	if !x.identityKnown {
		body := sha256.New()
		_, _ = x.body.WriteTo(body) // never fails
		path, _, _ := strings.Cut(x.caller.RequestURI, "?")
		x.cachedIdentity = quarantine.Identity{Content: x.fingerprint(x.caller.Method, x.caller.RequestURI, body.Sum(nil)),
			Resource: x.fingerprint("", path, body.Sum(nil))}
		x.identityKnown = true
	}
	return x.cachedIdentity
}

func (x *exchange) fingerprint(method, uri string, bodyHash []byte) poison.Fingerprint {
	h := poison.NewHasher(catalog.CanonicalHost(x.caller.Host), method, uri)
	_, _ = h.Write(bodyHash) // never fails
	return h.Sum()
}

// report returns a failure report on the request, without its result.
func (x *exchange) report(t *catalog.Target) quarantine.FailureReport {
	request := x.identity()
	return quarantine.FailureReport{Request: request.Content, Resource: request.Resource, Target: incarnationHash(t), At: x.gateway.options.Now()}
}

// incarnationHash identifies an incarnation of a target; all instances compute the
// same value.
func incarnationHash(t *catalog.Target) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(t.ID), uint64(t.StartUnixMS)))
}

// blockedFor returns the time for which the request is still blocked because it
// crashed targets, 0 if it is not. It updates x.failedTargets.
func (x *exchange) blockedFor(ctx context.Context) (time.Duration, error) {
	s := x.gateway.scheduler
	if !s.hasSuspects() {
		return 0, nil // the common case; saves computing the fingerprint
	}
	request := x.identity()
	failedTargets := 0
	blocked, err := owner.Call(ctx, s.loop, func(now time.Duration) time.Duration {
		failedTargets = s.reports.FailedTargets(request)
		return s.blockedFor(now, request)
	})
	if err == nil {
		x.failedTargets = failedTargets
	}
	return blocked, err
}

// hasSuspects reports whether any request has failure reports. It is safe for concurrent
// use.
func (s *scheduler) hasSuspects() bool {
	return s.queuedReports.Load() > 0 || s.suspectCount.Load() > 0
}

// blockedFor returns the time for which a request is still blocked, 0 if it is not. It
// runs in the loop's goroutine.
func (s *scheduler) blockedFor(now time.Duration, request quarantine.Identity) time.Duration {
	blocked := s.reports.BlockedFor(now, request, quarantine.CrashLimit)
	if blocked == 0 && s.isolated() && s.reports.BlockedFor(now, request, quarantine.IsolatedCrashLimit) > 0 {
		return defaultRetryAfter // others may know better, and so will this instance soon
	}
	return blocked
}

// completed records that a target completed the request, if any request has failure
// reports.
func (x *exchange) completed(t *catalog.Target) {
	if s := x.gateway.scheduler; s.hasSuspects() {
		report := x.report(t)
		report.Completed = true
		s.recordCompletion(report)
	}
}

// checkCrash checks whether the target of an attempt that broke or was given up is down
// and, if so, adds a failure report for the request, once another target answers. It returns at
// once; done is called after the check.
func (x *exchange) checkCrash(a *attempt, broken bool, done func()) {
	g, t := x.gateway, a.Target
	report := x.report(t)
	report.AfterFailure = a.afterFailure
	ctx := context.WithoutCancel(x.caller.Context())
	request := x.identityAttrs(report, t)
	g.crashChecks.Add(1)
	began := g.options.Now()
	go func() {
		defer g.crashChecks.Add(-1)
		done = sync.OnceFunc(done)
		defer done()
		backoff.Sleep(ctx, crashCheckDelay)
		_ = contain.Run("crash check", g.options.OnPanic, func() {
			down := g.isDown(ctx, t, broken)
			if down && !g.reachesOthers(ctx, report, began) {
				done() // what follows may take as long as a partition
				down = g.isDownAfterPartition(ctx, t, report, broken)
			}
			if down {
				g.scheduler.recordCrash(report, request)
			} else if broken {
				g.options.Log.LogAttrs(ctx, slog.LevelInfo, "target answers after a broken attempt; no failure report", request...)
			}
		})
	}()
}

// maxLoggedBytes bounds the bytes of a part of a request in a log line.
const maxLoggedBytes = 128

// bounded returns the first maxLoggedBytes of s.
func bounded(s string) string { return s[:min(maxLoggedBytes, len(s))] }

// identityAttrs returns the log fields that show what a failure report of an attempt at t is
// about, with the parts of the request from which its fingerprint follows.
func (x *exchange) identityAttrs(report quarantine.FailureReport, t *catalog.Target) []slog.Attr {
	return []slog.Attr{slog.String("id", x.id), slog.String("fingerprint", report.Request.String()),
		slog.String("resource", report.Resource.String()), slog.String("target", t.ID),
		slog.String("caller", x.callerAddress()), slog.String("host", bounded(x.caller.Host)), slog.String("method", x.caller.Method),
		slog.String("uri", bounded(x.caller.RequestURI)), slog.Int64("body_bytes", x.body.Len()),
		slog.Bool("after_failure", report.AfterFailure)}
}

// checkPollInterval is the time between two looks at the crash checks in progress.
const checkPollInterval = 5 * time.Millisecond

// AwaitCrashChecks waits until the crash checks in progress have ended and their reports
// have been passed to Options.OnFailureReport, or the context ends. The requests that
// caused them may have ended before.
func (g *Gateway) AwaitCrashChecks(ctx context.Context) {
	for (g.crashChecks.Load() > 0 || g.scheduler.queuedReports.Load() > 0) && ctx.Err() == nil {
		backoff.Sleep(ctx, checkPollInterval)
	}
}

// isDown reports whether a target is down after an attempt. If the attempt broke, one that
// answers no probe is. If the connection stayed open, the target may only be slow: then it
// must not accept connections either. That alone counts without a path for probes.
func (g *Gateway) isDown(ctx context.Context, t *catalog.Target, broken bool) bool {
	response, err := g.probe(ctx, t, false)
	switch {
	case err == nil:
		return !isFrom(&g.options.Dialect, response, t)
	case errors.Is(err, errNoHealthPath):
		return !g.accepts(ctx, t)
	case broken:
		return true
	}
	_, err = g.probe(ctx, t, true)
	var failed *transport.Error
	return errors.As(err, &failed) && failed.Step == transport.StepConnect
}

// accepts reports whether a target accepts a connection. Nothing is sent on it.
func (g *Gateway) accepts(ctx context.Context, t *catalog.Target) bool {
	dialer := transport.Dialer(g.options.LocalAddress, dialTimeout)
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// recordCrash adds a report that a target was down after it got a request, and
// passes it to the other instances. request holds the log fields of the request.
func (s *scheduler) recordCrash(report quarantine.FailureReport, request []slog.Attr) {
	s.queuedReports.Add(1) // a check of the block that follows must wait for the report
	s.loop.Post(func(now time.Duration) {
		count := s.reports.Add(report)
		s.expireReports(now)
		blocked := s.blockedFor(now, report.Identity())
		s.log.LogAttrs(context.Background(), slog.LevelInfo, "target is down after a request; failure report added",
			append(request, slog.Int("targets", count), slog.Int64("blocked_ms", blocked.Milliseconds()))...)
		s.metrics.FailureReports(originSelf, 1)
		s.onFailureReport(report, blocked > 0)
		s.queuedReports.Add(-1)
	})
}

// expireReports drops expired failure reports and updates suspectCount.
func (s *scheduler) expireReports(now time.Duration) {
	s.suspectCount.Store(int64(s.reports.Expire(now)))
}

// recordCompletion adds a completion of a request that has failure reports. Other
// requests are ignored.
func (s *scheduler) recordCompletion(report quarantine.FailureReport) {
	s.loop.Post(func(now time.Duration) {
		if failed := s.reports.FailedTargets(report.Identity()); failed > 0 {
			blocked := s.reports.BlockedFor(now, report.Identity(), quarantine.CrashLimit) > 0
			s.reports.Add(report)
			s.log.Info("target completed a request with failure reports; earlier reports are void",
				"fingerprint", report.Request.String(), "targets", failed)
			s.onFailureReport(report, blocked) // others refuse the request until they know
		}
	})
}

// addFailureReports adds failure reports from other instances.
func (s *scheduler) addFailureReports(list []quarantine.FailureReport) {
	s.loop.Post(func(now time.Duration) {
		for _, report := range list {
			before := s.blockedFor(now, report.Identity())
			count := s.reports.Add(report)
			if after := s.blockedFor(now, report.Identity()); (after > 0) != (before > 0) {
				s.log.Warn("failure report from peer changed whether a request is blocked",
					"fingerprint", report.Request.String(), "targets", count, "blocked_ms", after.Milliseconds(), "age_ms", (now - report.At).Milliseconds())
			}
		}
		s.expireReports(now)
	})
	s.metrics.FailureReports(originPeer, len(list))
}
