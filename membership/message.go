package membership

import (
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Message returns the state to send to a peer. full includes all members whose
// heartbeat is known and all draining targets. Otherwise it includes a few of
// them, without dead members; successive messages cycle through the rest.
func (m *Members) Message(now time.Duration, full bool) *peerapi.State {
	s := &peerapi.State{Id: m.self.ID, Incarnation: m.self.Incarnation.bytes(), Heartbeat: m.heartbeat,
		State: memberState(m.self.Leaving), PeerAddress: m.self.PeerAddress, CallerAddress: m.self.CallerAddress,
		AdminAddress: m.self.AdminAddress, FailureDomain: m.self.FailureDomain,
		ConfigurationVersion: m.self.Version, ConfigurationDigest: m.self.Digest,
		KnownInstances: uint32(m.countPossiblyAlive(now)), RequestsInFlight: uint32(m.load()), Full: !m.peerResponded}
	entries, targets := memberEntries, drainingEntries
	if full {
		entries, targets = maxMembers, maxDraining
	}
	for range len(m.members) {
		if len(s.Members) == entries {
			break
		}
		m.cursor = (m.cursor + 1) % len(m.members)
		// Entries of dead members are useful only to an instance without any state.
		if o := m.members[m.cursor]; o.hasHeartbeat && (full || o.liveness(now) != Dead) {
			s.Members = append(s.Members, &peerapi.Member{Id: o.ID, Incarnation: o.Incarnation.bytes(),
				Heartbeat: o.heartbeat, State: memberState(o.announcedLeaving), AgeMs: millis(now - o.lastContact)})
		}
	}
	for _, t := range m.draining.nextBatch(targets) {
		s.Draining = append(s.Draining, &peerapi.DrainingTarget{Address: t.address, AgeMs: millis(now - t.seen)})
	}
	return s
}

// load returns the number of callers' requests in flight at this instance.
func (m *Members) load() int {
	if m.options.Load == nil {
		return 0
	}
	return m.options.Load()
}

// Receive merges the state that a peer sent about itself and other instances. It
// reports false if the message was rejected because it is malformed, from this
// instance, from an earlier incarnation, or from a new member above maxMembers.
func (m *Members) Receive(now time.Duration, s *peerapi.State) bool {
	m.detectPause(now)
	incarnation, valid := parseIncarnation(s.GetIncarnation())
	if !valid || !validState(s) || s.GetId() == m.self.ID {
		m.rejected++
		return false
	}
	o := m.findOrAdd(now, s.GetId())
	if o == nil { // counted by findOrAdd
		return false
	}
	if !o.acceptIncarnation(now, incarnation, true) {
		m.rejected++
		return false
	}
	o.recordHeartbeat(s.GetHeartbeat(), now)
	m.recordLeaving(o, s.GetState())
	o.PeerAddress, o.CallerAddress = s.GetPeerAddress(), s.GetCallerAddress()
	o.AdminAddress, o.FailureDomain = s.GetAdminAddress(), s.GetFailureDomain()
	if s.GetConfigurationVersion() >= o.Version {
		o.Version, o.Digest = s.GetConfigurationVersion(), s.GetConfigurationDigest()
	}
	o.Load = int(s.GetRequestsInFlight())
	o.reportedInstances, o.reportedAt = int(min(s.GetKnownInstances(), maxMembers)), now
	for _, entry := range s.GetMembers()[:min(len(s.GetMembers()), maxMembers)] {
		m.receiveEntry(now, entry)
	}
	for _, t := range s.GetDraining()[:min(len(s.GetDraining()), maxDraining)] {
		if m.draining.add(now, t.GetAddress(), before(now, t.GetAgeMs())) {
			m.push.request()
		}
	}
	return true
}

// receiveEntry merges the entry of a third instance that a peer relayed.
func (m *Members) receiveEntry(now time.Duration, entry *peerapi.Member) {
	incarnation, valid := parseIncarnation(entry.GetIncarnation())
	at := before(now, entry.GetAgeMs())
	if !valid || !validID(entry.GetId()) || entry.GetId() == m.self.ID {
		return
	}
	o := m.find(entry.GetId())
	if o == nil {
		if now-at >= ForgetAfter { // too old: the member may have been removed here
			return
		}
		if o = m.findOrAdd(now, entry.GetId()); o == nil {
			return
		}
	}
	if o.Incarnation != incarnation && now-at >= SuspectAfter && o.hasHeartbeat {
		return // an old entry is not evidence of a newer run
	}
	if !o.acceptIncarnation(now, incarnation, false) {
		return
	}
	o.recordHeartbeat(entry.GetHeartbeat(), at)
	m.recordLeaving(o, entry.GetState())
}

// recordLeaving records that a member announced that it leaves. It requests an
// immediate push the first time.
func (m *Members) recordLeaving(o *member, s peerapi.MemberState) {
	if s == peerapi.MemberState_MEMBER_STATE_LEAVING && !o.announcedLeaving {
		o.announcedLeaving = true
		m.push.request()
	}
}

func validID(id string) bool { return id != "" && len(id) <= maxFieldBytes }

func validState(s *peerapi.State) bool {
	for _, field := range []string{s.GetPeerAddress(), s.GetCallerAddress(), s.GetAdminAddress(),
		s.GetFailureDomain(), s.GetConfigurationDigest()} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	_, err := netip.ParseAddrPort(s.GetPeerAddress())
	return err == nil && validID(s.GetId())
}

func memberState(leaving bool) peerapi.MemberState {
	if leaving {
		return peerapi.MemberState_MEMBER_STATE_LEAVING
	}
	return peerapi.MemberState_MEMBER_STATE_LIVE
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// before returns the time ageMillis before now. Ages above 24 h count as 24 h,
// to prevent overflow.
func before(now time.Duration, ageMillis uint64) time.Duration {
	const bound = uint64(24 * time.Hour / time.Millisecond)
	return now - time.Duration(min(ageMillis, bound))*time.Millisecond
}
