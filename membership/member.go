package membership

import (
	"slices"
	"time"
)

// member is the state kept of one other instance.
type member struct {
	Peer
	heartbeat uint64
	// heard is the time of the last proof of life, a lower bound.
	heard time.Duration
	// judged is heard, moved forward by the length of pauses of this process,
	// in which nobody could be heard.
	judged time.Duration
	// known is set once a heartbeat was heard; before, heard is the time of the list.
	known bool
	// listed says that the platform's last list has the member.
	listed bool
	// listedLeaving is the state in that list.
	listedLeaving bool
	// announced is the member's own notice that it leaves.
	announced bool
	// retired holds earlier incarnations; messages from them are late.
	retired []Incarnation
	// busyUntil bounds an exchange in flight.
	busyUntil time.Duration
	// reported is the member's own count of instances, at time reportedAt.
	reported   int
	reportedAt time.Duration
}

func (m *member) liveness(now time.Duration) Liveness {
	switch silent := now - m.judged; {
	case silent >= DeadAfter:
		return Dead
	case silent >= SuspectAfter:
		return Suspected
	default:
		return Alive
	}
}

// hear records a heartbeat produced at the given time.
func (m *member) hear(heartbeat uint64, at time.Duration) {
	if m.known && heartbeat <= m.heartbeat {
		return
	}
	if !m.known {
		m.heard, m.judged = at, at
	}
	m.known = true
	m.heartbeat = heartbeat
	m.heard = max(m.heard, at)
	m.judged = max(m.judged, at)
}

// adopt makes i the member's incarnation if it is newer. direct says that the
// member itself sent it: only a running process can do that. What others tell
// must have the higher incarnation, or the present one must have fallen silent,
// which covers a clock that was set back between the two starts.
func (m *member) adopt(now time.Duration, i Incarnation, direct bool) bool {
	switch {
	case i == m.Incarnation:
		return true
	case slices.Contains(m.retired, i):
		return false
	case m.Incarnation == Incarnation{}:
	case !direct && !i.after(m.Incarnation) && m.liveness(now) == Alive:
		return false
	default:
		m.retired = append(m.retired, m.Incarnation)
		if len(m.retired) > maxRetired {
			m.retired = m.retired[1:]
		}
	}
	m.Incarnation, m.heartbeat, m.known, m.announced = i, 0, false, false
	m.Version, m.Digest = 0, ""
	return true
}

func (m *member) leaving() bool { return m.announced || m.listedLeaving }

// gone says that the member is proven not to run: it said that it leaves or
// the platform removed it, and nothing was heard of it for a long time.
func (m *member) gone(now time.Duration, listRead bool) bool {
	left := m.announced || (listRead && !m.listed)
	return left && now-m.heard >= ForgetAfter
}

func (m *member) peer(now time.Duration) Peer {
	p := m.Peer
	p.Liveness, p.Leaving, p.SinceContact = m.liveness(now), m.leaving(), now-m.heard
	return p
}
