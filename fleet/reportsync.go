package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// reportSync is how the failure reports of a peer differ from those of this instance.
type reportSync struct {
	// differ is true if the digests differed in the last exchange.
	differ bool
	// missing holds the reports to send to the peer, which lacks them.
	missing []*trackedReport
	// notBefore is the earliest time of the next exchange that is made only because the
	// reports differ.
	notBefore time.Duration
}

// ReportFailure sends a failure report to all other instances. Those get an urgent one by
// a broadcast at once, within milliseconds, and others within a second or two. It never
// blocks: its callers own state that this task waits for in OnView and OnFailureReports.
func (t *Task) ReportFailure(r quarantine.FailureReport, urgent bool) {
	t.queuedReports.Add(1)
	go t.loop.Post(func(now time.Duration) {
		t.failureReports.add(now, rand.Uint64(), r, netip.Addr{})
		t.queuedReports.Add(-1)
		if urgent {
			t.broadcastScope = scopeFleet
			t.broadcastNow(now)
			return
		}
		t.scheduleBroadcast(scopeFew) // regular exchanges leave the failure domain only every two seconds
	})
}

// flushPollInterval is the time between two looks at the undelivered reports.
const flushPollInterval = 5 * time.Millisecond

// FlushReports waits until another instance has each report of ReportFailure, or the
// context ends. Without it a report would be lost with an instance that stops.
func (t *Task) FlushReports(ctx context.Context) {
	for ctx.Err() == nil {
		queued := t.queuedReports.Load() // first: a report that is no longer queued must be seen by the call
		undelivered, err := owner.Call(ctx, t.loop, func(time.Duration) bool {
			return len(t.roster.peers) > 0 && t.failureReports.undelivered()
		})
		if err != nil || !undelivered && queued == 0 {
			return
		}
		backoff.Sleep(ctx, flushPollInterval)
	}
}

// putFailureReports adds to a state for a peer the failure reports that are due for
// transmission and those that the peer lacks, the digest, and, if this instance may lack
// reports of the peer, the identifiers of its own.
func (t *Task) putFailureReports(now time.Duration, s *peerapi.FleetState, to netip.Addr) {
	list := t.failureReports.next(len(t.roster.peers), to, t.isRemote(to))
	p := t.roster.peers[to]
	if p != nil {
		list = append(list, p.reports.missing...) // a report that is in both is ignored the second time
		p.reports.missing = nil
	}
	for _, report := range list {
		s.Strikes = append(s.Strikes, reportMessage(now, report))
	}
	digest := t.failureReports.digest(now)
	s.StrikesDigest = &digest
	if len(t.failureReports.list) == 0 || p != nil && p.reports.differ {
		s.KnownStrikes = &peerapi.FleetStrikeIDs{Ids: t.failureReports.knownIDs()}
	}
}

// mergeFailureReports adds a peer's failure reports, passes the unseen ones to
// OnFailureReports, and compares what is left with the peer's.
func (t *Task) mergeFailureReports(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	var unseen []quarantine.FailureReport
	for _, m := range s.GetStrikes() {
		id, report, err := reportFromMessage(now, m)
		if err != nil {
			t.options.Log.Warn("invalid failure report from peer, ignored", "peer", sender.String(), "error", err.Error())
			continue
		}
		if t.failureReports.add(now, id, report, sender) {
			unseen = append(unseen, report)
		}
	}
	if p := t.roster.peers[sender]; p != nil && s.StrikesDigest != nil {
		p.reports.differ = s.GetStrikesDigest() != t.failureReports.digest(now)
		if s.GetKnownStrikes() != nil {
			p.reports.missing = t.failureReports.missing(s.GetKnownStrikes().GetIds())
		}
	}
	if len(unseen) == 0 {
		return
	}
	t.options.Log.Info("failure reports received", "peer", sender.String(), "new", len(unseen), "known", len(t.failureReports.list))
	if t.options.OnFailureReports != nil {
		t.options.OnFailureReports(unseen)
	}
}

// syncFailureReports starts another exchange with a peer that has just answered, if one of
// the two lacks failure reports of the other.
func (t *Task) syncFailureReports(now time.Duration, ip netip.Addr) {
	p := t.roster.peers[ip]
	if p == nil || len(p.reports.missing) == 0 && (!p.reports.differ || now < p.reports.notBefore) {
		return
	}
	p.reports.notBefore = now + syncInterval
	t.contact(now, ip, broadcast{})
}
