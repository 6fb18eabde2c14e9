package fleet

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against failure reports that are never sent because others take precedence, that
// are sent forever, or that are accepted again when they come back.
func TestFailureReportsReachTheirRetransmitLimit(t *testing.T) {
	is := is.New(t)
	const count, members = 3 * maxReportsPerExchange, 100
	reporter, peer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	var s failureReports
	for n := range count {
		is.True(s.add(0, uint64(n), quarantine.FailureReport{Target: uint64(n)}, reporter))
	}
	sent := make(map[uint64]int)
	for range 3 * retransmitLimit(members) {
		is.Equal(len(s.next(members, reporter, false)), 0) // reports are not sent back to their sender
		list := s.next(members, peer, false)
		is.True(len(list) <= maxReportsPerExchange)
		for _, report := range list {
			sent[report.Target]++
		}
	}
	is.Equal(len(sent), count)
	for _, n := range sent {
		is.Equal(n, retransmitLimit(members))
	}
	is.Equal(len(s.next(members, peer, false)), 0)
	is.Equal(len(s.next(members, peer, true)), maxReportsPerExchange) // transmissions to other domains are counted apart
	is.True(!s.add(0, 1, quarantine.FailureReport{Target: 1}, reporter))
	s.expire(reportRetention - time.Millisecond)
	is.True(!s.add(0, 1, quarantine.FailureReport{Target: 1}, reporter))
	s.expire(reportRetention)
	is.True(s.add(0, 1, quarantine.FailureReport{Target: 1}, reporter))
}

// Guards against instances that exchange reports again and again although they have the
// same ones, that do not notice that one of them lacks some, and against memory that grows
// with each report.
func TestFailureReportsAreCompared(t *testing.T) {
	is := is.New(t)
	const later = reportSettleTime + time.Second
	var a, b failureReports
	for n := range uint64(maxReports + 1) {
		report := quarantine.FailureReport{Target: n, At: time.Duration(n)}
		is.True(a.add(later, n+1, report, netip.Addr{}))
		if n > 0 {
			is.True(b.add(later, maxReports+1-n+1, quarantine.FailureReport{Target: maxReports + 1 - n, At: time.Duration(maxReports + 1 - n)}, netip.Addr{}))
		}
	}
	is.Equal(len(a.list), maxReports) // the oldest was dropped
	is.Equal(a.digest(later), b.digest(later))
	is.Equal(len(a.missing(b.knownIDs())), 0)
	is.True(a.add(later, 1<<40, quarantine.FailureReport{At: later}, netip.Addr{}))
	is.Equal(len(b.missing(a.knownIDs())), 1) // the oldest one of b
	missing := a.missing(b.knownIDs())
	is.Equal(len(missing), 1)
	is.True(a.digest(2*later) != b.digest(2*later))
	is.True(b.add(later, missing[0].id, missing[0].FailureReport, netip.Addr{}))
	is.Equal(a.digest(2*later), b.digest(2*later))
	is.Equal(len(a.missing(nil)), maxReportsPerSync)
}

// Guards against a flush that ends between the addition of a report to the list and the
// look at it: an instance that stops would take the report with it.
func TestFlushWaitsForReportsThatAreQueued(t *testing.T) {
	task := New(Options{IP: netip.MustParseAddr("127.0.0.1"), Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
	task.broadcastScheduled = true // no message leaves this task
	task.roster.peers[netip.MustParseAddr("127.0.0.2")] = &peer{}
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); <-task.loop.Done() }()
	go task.loop.Run(ctx, time.Hour, func(time.Duration) {})
	for n := range uint64(300) {
		var delivered atomic.Bool
		early := make(chan bool)
		task.ReportFailure(quarantine.FailureReport{Target: n}, false)
		go func() {
			task.FlushReports(ctx)
			early <- !delivered.Load()
		}()
		for added := false; !added; {
			added, _ = owner.Call(ctx, task.loop, func(time.Duration) bool { return len(task.failureReports.list) == int(n)+1 })
		}
		time.Sleep(100 * time.Microsecond)
		delivered.Store(true)
		task.loop.Post(func(time.Duration) { task.failureReports.list[n].delivered = true })
		if <-early {
			t.Fatalf("the flush ended before report %d was delivered", n)
		}
	}
}

// Guards against parts of a failure report that other instances do not get, so that they do not
// block the request, or block it for another time.
func TestFailureReportsAreTransmittedWhole(t *testing.T) {
	is := is.New(t)
	sent := quarantine.FailureReport{Request: poison.Fingerprint{1}, Resource: poison.Fingerprint{2}, Target: 3, At: -time.Second, AfterFailure: true}
	m := reportMessage(0, &trackedReport{FailureReport: sent, id: 4})
	id, received, err := reportFromMessage(0, m)
	is.NoErr(err)
	is.Equal(id, uint64(4))
	is.Equal(received, sent)
	m.Resource = nil
	sent.Resource = poison.Fingerprint{}
	_, received, err = reportFromMessage(0, m)
	is.NoErr(err)
	is.Equal(received, sent)
	m.Resource = []byte{1}
	_, _, err = reportFromMessage(0, m)
	is.True(err != nil)
}
