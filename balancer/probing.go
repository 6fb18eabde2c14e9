package balancer

import "time"

// probeOverdueAfter is the time without a report after which a target is overdue for
// a probe. It keeps drain signals within seconds on idle pools.
const probeOverdueAfter = 900 * time.Millisecond

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
	if interval, ok := b.budget.minInterval(); ok {
		dst = b.requestProbes(interval, dst)
	}
	if interval, ok := b.budget.minIdleInterval(len(b.fleet.Members)); ok {
		dst = b.idleProbes(interval, dst)
	}
	return dst
}

// idleProbes appends probes that no request has paid for: of targets that were
// silent for maxSilence and that this instance looks after, as the first member
// by rendezvous hash. Its peers are told what it sees draining.
func (b *Balancer) idleProbes(interval time.Duration, dst []Choice) []Choice {
	for _, t := range b.subset {
		if t.hashRank != 0 && len(b.fleet.Members) > 0 {
			continue // another member looks after it
		}
		if t.nextIdleProbe == 0 {
			phase := rendezvousHash(hashName(b.fleet.Self), t.hash) % uint64(interval)
			t.nextIdleProbe = b.budget.clock + 1 + time.Duration(phase)
		}
		if b.budget.clock < t.nextIdleProbe {
			continue
		}
		t.nextIdleProbe = max(t.nextIdleProbe+interval, b.budget.clock+1)
		if b.sinceLastContact(t) < probeOverdueAfter {
			continue // a probe now or at the next phase, so that the phases stay apart
		}
		b.budget.countIdle()
		t.probedAt = b.budget.clock
		dst = append(dst, Choice{Index: t.index, Name: t.name, Address: t.address})
	}
	return dst
}

// requestProbes appends the probes that requests have paid for.
func (b *Balancer) requestProbes(interval time.Duration, dst []Choice) []Choice {
	for {
		t := b.longestWithoutContact(interval)
		if t == nil {
			return dst
		}
		if !b.budget.take() {
			if b.sinceLastContact(t) >= probeOverdueAfter {
				b.budget.stats.Refused++
			}
			return dst
		}
		t.probedAt = b.budget.clock
		dst = append(dst, Choice{Index: t.index, Name: t.name, Address: t.address})
	}
}

// sinceLastContact is the time since the last report or probe of the target.
func (b *Balancer) sinceLastContact(t *target) time.Duration {
	return min(b.now-t.reportedAt, b.budget.clock-t.probedAt)
}

// longestWithoutContact returns the target that was silent the longest among those whose
// interval has passed.
func (b *Balancer) longestWithoutContact(interval time.Duration) *target {
	var most *target
	for _, t := range b.subset {
		if b.budget.clock-t.probedAt >= interval && (most == nil || b.sinceLastContact(t) > b.sinceLastContact(most)) {
			most = t
		}
	}
	return most
}

// ProbeStats returns the counts of the probe budget.
func (b *Balancer) ProbeStats() ProbeStats { return b.budget.stats }
