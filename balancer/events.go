package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Sent records that an attempt was sent to the target.
func (b *Balancer) Sent(now time.Duration, index int, class tables.Class) {
	b.advance(now)
	t := b.targets[index]
	if t == nil {
		return
	}
	if class == tables.ClassLong {
		t.longInFlight++
	} else {
		t.shortInFlight++
	}
	t.load.ownSendsSince++
	t.recentSends.add(b.now)
}

// Responded handles the response head of an attempt. latency is the time since
// the attempt was sent. outcome is OutcomeOK, OutcomeError or OutcomeShed. The
// attempt counts as in flight until Ended.
func (b *Balancer) Responded(now time.Duration, index int, latency time.Duration, outcome Outcome, r Report) {
	b.advance(now)
	t := b.targets[index]
	if t == nil {
		return
	}
	// Some targets no longer count the request that they respond to.
	b.observeReport(t, r, reportTimes{writtenAfter: b.now - latency, writtenAt: b.now, missesSendsAfter: b.now - min(latency, maxTransitTime)}, 1)
	switch outcome {
	case OutcomeOK:
		if r.HasLoad && r.Load.InFlight <= t.slots && t.longInFlight == 0 {
			t.trust.compareLatency(latency.Seconds(), &b.averages)
		}
		b.observeLatency(t, latency, false)
		b.recordSuccess(t)
	case OutcomeError:
		b.observeLatency(t, latency, true)
		b.recordFailure(t, false)
	case OutcomeShed:
		t.health.recordOutcome(b.now, shedErrorWeight)
		b.recordShed(t)
	}
}

// Ended records the end of an attempt. It must be called once for each attempt
// recorded with Sent.
func (b *Balancer) Ended(now time.Duration, index int, class tables.Class, outcome Outcome) {
	b.advance(now)
	t := b.targets[index]
	if t == nil {
		return
	}
	if class == tables.ClassLong {
		t.longInFlight = max(0, t.longInFlight-1)
	} else {
		t.shortInFlight = max(0, t.shortInFlight-1)
	}
	switch outcome {
	case OutcomeOK: // the connection worked
		t.health.consecutiveBroken = 0
	case OutcomeNotSent, OutcomeBroken, OutcomeTruncated:
		b.recordFailure(t, true)
	}
}

// Probed handles the end of a probe. Results for unknown target names are
// ignored.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	b.advance(now)
	for _, t := range b.allTargets {
		if t.name != p.Target {
			continue
		}
		if !p.OK {
			b.suspect(t)
			return
		}
		b.observeReport(t, p.Report, reportTimes{writtenAfter: p.Sent, writtenAt: p.Sent + (b.now-p.Sent)/2, missesSendsAfter: p.Sent}, 0)
		return
	}
}

// reportTimes describes when a report was written.
type reportTimes struct {
	writtenAfter     time.Duration // lower bound
	writtenAt        time.Duration // estimate
	missesSendsAfter time.Duration // requests of this instance sent after this time may not be counted in it
}

// observeReport handles a report. slack is the number of requests of this
// instance in flight that the target may no longer count.
func (b *Balancer) observeReport(t *target, r Report, times reportTimes, slack int) {
	t.reportedAt = b.now
	b.observeState(t, r.State, times.writtenAfter)
	if !r.HasLoad {
		return
	}
	seen := t.inFlight() - t.recentSends.since(times.missesSendsAfter) - slack
	t.trust.compareInFlight(r.Load.InFlight, max(0, seen))
	b.recordLoad(t, r, times.writtenAt)
}
