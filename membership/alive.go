package membership

import "time"

// MaxAlive returns an upper bound of the number of live instances, this one
// included. It returns 0 until the platform's list has been read or a peer has
// responded. Each instance divides fleet-wide budgets by this number; a number
// that is too low would let the fleet as a whole exceed a budget.
func (m *Members) MaxAlive(now time.Duration) int {
	if !m.listRead && !m.peerResponded {
		return 0
	}
	count := m.countPossiblyAlive(now)
	for _, o := range m.members {
		// The peer may know instances that this one does not know.
		if o.reportedInstances > 0 && now-o.reportedAt < ForgetAfter {
			count = max(count, o.reportedInstances)
		}
	}
	return count
}

// countPossiblyAlive returns the number of instances, this one included, that
// have not departed according to this instance's own state.
func (m *Members) countPossiblyAlive(now time.Duration) int {
	count := 1
	for _, o := range m.members {
		if !o.departed(now, m.listRead) {
			count++
		}
	}
	return count
}

// detectPause marks the state as stale if the last event is more than PauseGap
// ago, because the process did not run. Peers could not make contact during the
// pause, so it does not count towards their silence.
func (m *Members) detectPause(now time.Duration) {
	gap := now - m.lastEvent
	if m.ticked && gap > PauseGap {
		m.stale, m.resumedAt = true, now
		for _, o := range m.members {
			o.silentSince = min(o.silentSince+gap, now)
		}
	}
	m.lastEvent = now
}

// clearStale ends staleness if a successful call was started after the pause.
func (m *Members) clearStale(started time.Duration) {
	if m.stale && started >= m.resumedAt {
		m.stale = false
	}
}

// Stale reports whether the process was paused and has not completed a call
// to a peer or to the platform since.
func (m *Members) Stale() bool { return m.stale }
