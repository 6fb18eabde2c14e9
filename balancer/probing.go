package balancer

import "time"

// probeOverdueAfter is the time without contact after which a target is overdue
// for a probe. It keeps the detection of draining targets within seconds in
// idle pools.
const probeOverdueAfter = 900 * time.Millisecond

// Arrived records that a request arrived for the pool. It earns budget for
// probes.
func (b *Balancer) Arrived(now time.Duration) {
	b.advance(now)
	b.budget.earn()
}

// Probes appends the probes to send now to dst. It includes draining and
// ejected targets, because their reports show when they serve again. The caller
// must send all returned probes.
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

// idleProbes appends probes that need no tokens. This instance probes the
// targets for which it is the first member by rendezvous hash, if they had no
// contact for probeOverdueAfter. Its peers learn which targets it finds
// draining.
func (b *Balancer) idleProbes(interval time.Duration, dst []Choice) []Choice {
	for _, t := range b.subset {
		if t.hashRank != 0 && len(b.fleet.Members) > 0 {
			continue // another member probes it
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
			continue // skipped until the next phase, so that the probes stay spread over time
		}
		b.budget.countIdle()
		t.probedAt = b.budget.clock
		dst = append(dst, Choice{Index: t.index, Name: t.name, Address: t.address})
	}
	return dst
}

// requestProbes appends probes paid with the tokens that requests have earned.
// Targets without contact for the longest time come first.
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

// sinceLastContact returns the time since the last report or probe of the
// target.
func (b *Balancer) sinceLastContact(t *target) time.Duration {
	return min(b.now-t.reportedAt, b.budget.clock-t.probedAt)
}

// longestWithoutContact returns the target without contact for the longest time
// among those whose probe interval has passed, or nil if there is none.
func (b *Balancer) longestWithoutContact(interval time.Duration) *target {
	var longest *target
	for _, t := range b.subset {
		if b.budget.clock-t.probedAt >= interval && (longest == nil || b.sinceLastContact(t) > b.sinceLastContact(longest)) {
			longest = t
		}
	}
	return longest
}

// ProbeStats returns the counts of the probe budget since the start.
func (b *Balancer) ProbeStats() ProbeStats { return b.budget.stats }
