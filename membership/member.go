package membership

import (
	"slices"
	"time"
)

// member is the state kept of one other instance.
type member struct {
	Peer
	heartbeat uint64
	// lastContact is the time of the last proof of life, a lower bound.
	lastContact time.Duration
	// silentSince is heard, moved forward by the length of pauses of this process,
	// in which nobody could be heard.
	silentSince time.Duration
	// hasHeartbeat is set once a heartbeat was heard; before, heard is the time of the list.
	hasHeartbeat bool
	// listed says that the platform's last list has the member.
	listed bool
	// listedLeaving is the state in that list.
	listedLeaving bool
	// announcedLeaving is the member's own notice that it leaves.
	announcedLeaving bool
	// pastIncarnations holds earlier incarnations; messages from them are late.
	pastIncarnations []Incarnation
	// busyUntil bounds an exchange in flight.
	busyUntil time.Duration
	// reportedInstances is the member's own count of instances, at time reportedAt.
	reportedInstances int
	reportedAt        time.Duration
}

func (m *member) liveness(now time.Duration) Liveness {
	switch silence := now - m.silentSince; {
	case silence >= DeadAfter:
		return Dead
	case silence >= SuspectAfter:
		return Suspected
	default:
		return Alive
	}
}

// recordHeartbeat records a heartbeat produced at the given time.
func (m *member) recordHeartbeat(heartbeat uint64, at time.Duration) {
	if m.hasHeartbeat && heartbeat <= m.heartbeat {
		return
	}
	if !m.hasHeartbeat {
		m.lastContact, m.silentSince = at, at
	}
	m.hasHeartbeat = true
	m.heartbeat = heartbeat
	m.lastContact = max(m.lastContact, at)
	m.silentSince = max(m.silentSince, at)
}

// acceptIncarnation makes i the member's incarnation if it is newer. direct says that the
// member itself sent it: only a running process can do that. What others tell
// must have the higher incarnation, or the present one must have fallen silent,
// which covers a clock that was set back between the two starts.
func (m *member) acceptIncarnation(now time.Duration, i Incarnation, direct bool) bool {
	switch {
	case i == m.Incarnation:
		return true
	case slices.Contains(m.pastIncarnations, i):
		return false
	case m.Incarnation == Incarnation{}:
	case !direct && !i.after(m.Incarnation) && m.liveness(now) == Alive:
		return false
	default:
		m.pastIncarnations = append(m.pastIncarnations, m.Incarnation)
		if len(m.pastIncarnations) > maxPastIncarnations {
			m.pastIncarnations = m.pastIncarnations[1:]
		}
	}
	m.Incarnation, m.heartbeat, m.hasHeartbeat, m.announcedLeaving = i, 0, false, false
	m.Version, m.Digest = 0, ""
	return true
}

func (m *member) leaving() bool { return m.announcedLeaving || m.listedLeaving }

// departed says that the member is proven not to run: it said that it leaves or
// the platform removed it, and nothing was heard of it for a long time.
func (m *member) departed(now time.Duration, listRead bool) bool {
	leftFleet := m.announcedLeaving || (listRead && !m.listed)
	return leftFleet && now-m.lastContact >= ForgetAfter
}

func (m *member) peer(now time.Duration) Peer {
	p := m.Peer
	p.Liveness, p.Leaving, p.SinceContact = m.liveness(now), m.leaving(), now-m.lastContact
	return p
}
