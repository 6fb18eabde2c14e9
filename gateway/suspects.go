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

// crashCheckAfter is when a target that broke off is asked whether it runs. A
// target that crashed stays away for some seconds; one whose connection was
// reset, or that spoiled an answer, answers at once.
const crashCheckAfter = 50 * time.Millisecond

// fingerprint identifies requests of one caller with the same content. It is
// computed once, since it reads the whole body.
func (x *exchange) fingerprint() poison.Fingerprint {
	if x.identified {
		return x.content
	}
	host, _, err := net.SplitHostPort(x.caller.RemoteAddr)
	if err != nil {
		host = x.caller.RemoteAddr // still the same for each request of this caller
	}
	h := poison.NewHasher(host+" "+x.caller.Host, x.caller.Method, x.caller.RequestURI)
	_, _ = h.Write(x.body) // never fails
	x.content, x.identified = h.Sum(), true
	return x.content
}

// incarnationHash identifies a start of a target among all instances.
func incarnationHash(t *catalog.Target) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(t.ID), uint64(t.StartUnixMS)))
}

// blocked returns how long the request stays blocked, since it crashed targets.
func (x *exchange) blocked(ctx context.Context) (time.Duration, error) {
	d := x.gateway.desk
	if d.suspects.Load() == 0 {
		return 0, nil // the usual case needs no fingerprint
	}
	request := x.fingerprint()
	return owner.Ask(ctx, d.loop, func(now time.Duration) time.Duration { return d.book.BlockedFor(now, request) })
}

// completed notes that a target completed the request.
func (x *exchange) completed(t *catalog.Target) {
	if d := x.gateway.desk; d.suspects.Load() > 0 {
		d.completed(quarantine.FailureReport{Request: x.fingerprint(), Target: incarnationHash(t), At: x.gateway.options.Now(), Completed: true})
	}
}

// checkCrash finds out whether the target that broke off is down, and if so
// reports a strike against the request that it ran.
func (x *exchange) checkCrash(t *catalog.Target) {
	g := x.gateway
	s := quarantine.FailureReport{Request: x.fingerprint(), Target: incarnationHash(t), At: g.options.Now()}
	ctx, id, path := context.WithoutCancel(x.caller.Context()), x.id, x.healthPath(t)
	go func() {
		backoff.Sleep(ctx, crashCheckAfter)
		if _, runs := g.probeOnce(ctx, t, path); !runs {
			g.desk.strike(s, id, t.ID)
		}
	}()
}

// strike notes that a target went down under a request.
func (d *desk) strike(s quarantine.FailureReport, id, target string) {
	d.loop.Post(func(now time.Duration) {
		count := d.book.Add(s)
		d.expireStrikes(now)
		d.log.Info("target went down under a request", "id", id, "fingerprint", s.Request.String(), "target", target,
			"targets", count, "blocked_ms", d.book.BlockedFor(now, s.Request).Milliseconds())
		d.onStrike(s)
	})
}

// expireStrikes forgets old strikes and counts the requests that have some.
func (d *desk) expireStrikes(now time.Duration) { d.suspects.Store(int64(d.book.Expire(now))) }

// toldFrom is the number of strikes from which other instances are told that a
// request was completed; most requests with one strike met a target that crashed
// for another reason, and never come again.
const toldFrom = 2

func (d *desk) completed(s quarantine.FailureReport) {
	d.loop.Post(func(time.Duration) {
		if before := d.book.FailedTargets(s.Request); before > 0 {
			d.book.Add(s)
			d.log.Info("request with strikes completed", "fingerprint", s.Request.String(), "targets", before)
			if before >= toldFrom {
				d.onStrike(s)
			}
		}
	})
}

// learn takes strikes that other instances tell.
func (d *desk) learn(list []quarantine.FailureReport) {
	d.loop.Post(func(now time.Duration) {
		for _, s := range list {
			before := d.book.BlockedFor(now, s.Request)
			count := d.book.Add(s)
			if left := d.book.BlockedFor(now, s.Request); (left > 0) != (before > 0) {
				d.log.Warn("request crashes targets, peers say", "fingerprint", s.Request.String(), "targets", count,
					"blocked_ms", left.Milliseconds(), "age_ms", (now - s.At).Milliseconds())
			}
		}
		d.expireStrikes(now)
	})
}
