package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// crashCheckDelay is when a target that broke off is asked whether it runs. A
// target that crashed stays away for some seconds; one whose connection was
// reset, or that spoiled an answer, answers at once.
const crashCheckDelay = 50 * time.Millisecond

// fingerprint identifies requests of one caller with the same content. It is
// computed once, since it reads the whole body.
func (x *exchange) fingerprint() poison.Fingerprint {
	if x.fingerprintKnown {
		return x.cachedFingerprint
	}
	host, _, err := net.SplitHostPort(x.caller.RemoteAddr)
	if err != nil {
		host = x.caller.RemoteAddr // still the same for each request of this caller
	}
	h := poison.NewHasher(host+" "+x.caller.Host, x.caller.Method, x.caller.RequestURI)
	_, _ = h.Write(x.body) // never fails
	x.cachedFingerprint, x.fingerprintKnown = h.Sum(), true
	return x.cachedFingerprint
}

// incarnationHash identifies a start of a target among all instances.
func incarnationHash(t *catalog.Target) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(t.ID), uint64(t.StartUnixMS)))
}

// blockedFor returns how long the request stays blockedFor, since it crashed targets.
func (x *exchange) blockedFor(ctx context.Context) (time.Duration, error) {
	d := x.gateway.scheduler
	if d.suspectCount.Load() == 0 {
		return 0, nil // the usual case needs no fingerprint
	}
	request := x.fingerprint()
	return owner.Ask(ctx, d.loop, func(now time.Duration) time.Duration { return d.reports.BlockedFor(now, request) })
}

// completed notes that a target completed the request.
func (x *exchange) completed(t *catalog.Target) {
	if d := x.gateway.scheduler; d.suspectCount.Load() > 0 {
		d.recordCompletion(quarantine.FailureReport{Request: x.fingerprint(), Target: incarnationHash(t), At: x.gateway.options.Now(), Completed: true})
	}
}

// checkCrash finds out whether the target that broke off is down, and if so
// reports a strike against the request that it ran.
func (x *exchange) checkCrash(t *catalog.Target) {
	g := x.gateway
	s := quarantine.FailureReport{Request: x.fingerprint(), Target: incarnationHash(t), At: g.options.Now()}
	ctx, id, path := context.WithoutCancel(x.caller.Context()), x.id, x.healthPath(t)
	go func() {
		backoff.Sleep(ctx, crashCheckDelay)
		if _, runs := g.sendProbe(ctx, t, path); !runs {
			g.scheduler.recordCrash(s, id, t.ID)
		}
	}()
}

// recordCrash notes that a target went down under a request.
func (d *scheduler) recordCrash(s quarantine.FailureReport, id, target string) {
	d.loop.Post(func(now time.Duration) {
		count := d.reports.Add(s)
		d.expireReports(now)
		d.log.Info("target went down under a request", "id", id, "fingerprint", s.Request.String(), "target", target,
			"targets", count, "blocked_ms", d.reports.BlockedFor(now, s.Request).Milliseconds())
		d.onFailureReport(s)
	})
}

// expireReports forgets old strikes and counts the requests that have some.
func (d *scheduler) expireReports(now time.Duration) {
	d.suspectCount.Store(int64(d.reports.Expire(now)))
}

// completionReportThreshold is the number of strikes from which other instances are told that a
// request was completed; most requests with one strike met a target that crashed
// for another reason, and never come again.
const completionReportThreshold = 2

func (d *scheduler) recordCompletion(s quarantine.FailureReport) {
	d.loop.Post(func(time.Duration) {
		if before := d.reports.FailedTargets(s.Request); before > 0 {
			d.reports.Add(s)
			d.log.Info("request with strikes completed", "fingerprint", s.Request.String(), "targets", before)
			if before >= completionReportThreshold {
				d.onFailureReport(s)
			}
		}
	})
}

// addFailureReports takes strikes that other instances tell.
func (d *scheduler) addFailureReports(list []quarantine.FailureReport) {
	d.loop.Post(func(now time.Duration) {
		for _, s := range list {
			before := d.reports.BlockedFor(now, s.Request)
			count := d.reports.Add(s)
			if left := d.reports.BlockedFor(now, s.Request); (left > 0) != (before > 0) {
				d.log.Warn("request crashes targets, peers say", "fingerprint", s.Request.String(), "targets", count,
					"blocked_ms", left.Milliseconds(), "age_ms", (now - s.At).Milliseconds())
			}
		}
		d.expireReports(now)
	})
}
