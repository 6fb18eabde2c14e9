package membership

import (
	"slices"
	"time"
)

// member is the state kept for one other instance.
type member struct {
	Peer
	heartbeat uint64
	// lastContact is the latest time at which the member is known to have run:
	// when its newest heartbeat was sent or, before the first one, when it was
	// last found in the platform's list.
	lastContact time.Duration
	// silentSince is the time from which the member's silence is counted:
	// lastContact, moved forward by the length of this process's pauses.
	silentSince time.Duration
	// hasHeartbeat is set once a heartbeat of this incarnation was received,
	// directly or through another peer.
	hasHeartbeat bool
	// listed is set if the member is in the platform's last list.
	listed bool
	// listedLeaving is set if that list has the member as leaving.
	listedLeaving bool
	// announcedLeaving is set once the member itself announced that it leaves.
	announcedLeaving bool
	// pastIncarnations holds the last earlier incarnations, oldest first. Their
	// messages are rejected as late.
	pastIncarnations []Incarnation
	// busyUntil is the time until which no other exchange with the member is
	// started, 0 without an exchange in flight.
	busyUntil time.Duration
	// reportedInstances is the number of instances that the member reported at
	// the time reportedAt.
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

// recordHeartbeat records a heartbeat that was sent at the given time. It
// ignores heartbeats that are not newer than the last one.
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

// acceptIncarnation makes i the member's incarnation if it is newer and reports
// whether i is the member's incarnation. Past incarnations are rejected. An
// incarnation that the member itself sent (direct) is otherwise accepted, as only
// a running process can send. One that another peer relayed must be higher than
// the current one, unless the current one is no longer alive; this covers a
// clock that was set back between the two starts.
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

// departed reports whether the member can be assumed not to run: it announced
// that it leaves, or the platform removed it from the list, and there was no
// contact with it for ForgetAfter.
func (m *member) departed(now time.Duration, listRead bool) bool {
	leftFleet := m.announcedLeaving || (listRead && !m.listed)
	return leftFleet && now-m.lastContact >= ForgetAfter
}

func (m *member) peer(now time.Duration) Peer {
	p := m.Peer
	p.Liveness, p.Leaving, p.SinceContact = m.liveness(now), m.leaving(), now-m.lastContact
	return p
}
