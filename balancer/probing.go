package balancer

import "time"

// maxSilence is the time without a report after which a target is overdue for
// a probe. It keeps drain signals within seconds on idle pools.
const maxSilence = 900 * time.Millisecond

// Arrived notes that one request entered the pool. It earns budget for probes.
func (b *Balancer) Arrived(now time.Duration) {
	b.advance(now)
	b.budget.earn()
}

// Probes appends the probes to send now to dst. The targets that were silent
// the longest come first, draining and ejected ones included: their reports
// tell when they serve again. The caller sends every probe that is returned.
func (b *Balancer) Probes(now time.Duration, dst []Choice) []Choice {
	b.advance(now)
	if interval, ok := b.budget.interval(); ok {
		dst = b.paidProbes(interval, dst)
	}
	if interval, ok := b.budget.idleInterval(len(b.fleet.Members)); ok {
		dst = b.idleProbes(interval, dst)
	}
	return dst
}

// idleProbes appends probes that no request has paid for: of targets that were
// silent for maxSilence and that this instance looks after, as the first member
// by rendezvous hash. Its peers are told what it sees draining.
func (b *Balancer) idleProbes(interval time.Duration, dst []Choice) []Choice {
	for _, t := range b.subset {
		if t.rank != 0 && len(b.fleet.Members) > 0 {
			continue // another member looks after it
		}
		if t.idleAt == 0 {
			phase := rendezvous(hashName(b.fleet.Self), t.hash) % uint64(interval)
			t.idleAt = b.budget.clock + 1 + time.Duration(phase)
		}
		if b.budget.clock < t.idleAt {
			continue
		}
		t.idleAt = max(t.idleAt+interval, b.budget.clock+1)
		if b.silence(t) < maxSilence {
			continue // a probe now or at the next phase, so that the phases stay apart
		}
		b.budget.takeIdle()
		t.probedAt = b.budget.clock
		dst = append(dst, Choice{Index: t.index, Name: t.name, Address: t.address})
	}
	return dst
}

// paidProbes appends the probes that requests have paid for.
func (b *Balancer) paidProbes(interval time.Duration, dst []Choice) []Choice {
	for {
		t := b.mostSilent(interval)
		if t == nil {
			return dst
		}
		if !b.budget.take() {
			if b.silence(t) >= maxSilence {
				b.budget.spend.Refused++
			}
			return dst
		}
		t.probedAt = b.budget.clock
		dst = append(dst, Choice{Index: t.index, Name: t.name, Address: t.address})
	}
}

// silence is the time since the last report or probe of the target.
func (b *Balancer) silence(t *target) time.Duration {
	return min(b.now-t.reportedAt, b.budget.clock-t.probedAt)
}

// mostSilent returns the target that was silent the longest among those whose
// interval has passed.
func (b *Balancer) mostSilent(interval time.Duration) *target {
	var most *target
	for _, t := range b.subset {
		if b.budget.clock-t.probedAt >= interval && (most == nil || b.silence(t) > b.silence(most)) {
			most = t
		}
	}
	return most
}

// ProbeStats returns the counts of the probe budget.
func (b *Balancer) ProbeStats() ProbeStats { return b.budget.spend }
