package membership

import "time"

// MaxAlive returns the largest number of instances that may be alive, this one
// included, or 0 before the list was read or a peer answered. When in doubt it
// is too high: shares of fleet-wide budgets are divided by it.
func (m *Members) MaxAlive(now time.Duration) int {
	if !m.listRead && !m.peerResponded {
		return 0
	}
	count := m.countPossiblyAlive(now)
	for _, o := range m.members {
		// The peer may know instances that this one has not heard of.
		if o.reportedInstances > 0 && now-o.reportedAt < ForgetAfter {
			count = max(count, o.reportedInstances)
		}
	}
	return count
}

// countPossiblyAlive returns the instances that this one itself cannot rule out.
func (m *Members) countPossiblyAlive(now time.Duration) int {
	count := 1
	for _, o := range m.members {
		if !o.departed(now, m.listRead) {
			count++
		}
	}
	return count
}

// detectPause detects that the process did not run for a while. What it knows
// is then old, and the peers' silence in that time says nothing about them.
func (m *Members) detectPause(now time.Duration) {
	gap := now - m.lastTick
	if m.ticked && gap > PauseGap {
		m.stale, m.resumedAt = true, now
		for _, o := range m.members {
			o.silentSince = min(o.silentSince+gap, now)
		}
	}
	m.lastTick = now
}

// clearStale ends staleness if the successful call was started after the pause.
func (m *Members) clearStale(started time.Duration) {
	if m.stale && started >= m.resumedAt {
		m.stale = false
	}
}

// Stale reports that the process was paused and has reached nobody since.
func (m *Members) Stale() bool { return m.stale }
