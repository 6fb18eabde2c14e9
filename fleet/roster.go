package fleet

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// probeAfter and quietPerMember are how long a member may be silent until it is
	// asked: at least the one, and the other for each member, about five times the
	// mean time between refreshes. Silence alone tells nothing: a limit of 1.6 s
	// made members of a calm fleet of 20 come and go.
	probeAfter          = 4 * time.Second
	probeAfterPerMember = 150 * time.Millisecond
	// maxProbesPerTick bounds the silent members that are asked with one tick: after a
	// pause of the process all are silent.
	maxProbesPerTick = 4
	// downAfter is the number of failed exchanges in a row from which a member is
	// told to be down. The second one follows the first at once, on a new
	// connection, so that one lost packet declares nobody down.
	downAfter = 2
	// downMargin is the head start, in heartbeats, of the statement that a member
	// is down over the heartbeats that others may have heard before its end.
	downMargin = 20
	// refutationMargin is the head start, in heartbeats, of the member's refutation over
	// other statements that it is down.
	refutationMargin = 100
	// contactValidity is how long a heartbeat or a direct contact outweighs a statement
	// that a member is down; after it the member is asked.
	contactValidity = time.Second
	// removeAfter is how long a silent member is still contacted, so that the
	// parts of a fleet find each other after a partition.
	removeAfter = 120 * time.Second
)

// Bounds of what one exchange tells of other members.
const (
	// maxChangedMembers bounds changed members. Each change is told a number of times that
	// grows with the logarithm of the fleet, which reaches all with near certainty.
	maxChangedMembers        = 24
	minTransmissions         = 4
	transmissionsPerDoubling = 2
	// maxReadersSent bounds the readers of the store; more read only at a start.
	maxReadersSent = 6
	// maxRefreshed members are told of besides, the most recently heard of a sample.
	maxRefreshed  = 8
	refreshSample = 12
	// maxInitialMembers bounds the members that a peer is told of which is new here.
	maxInitialMembers = 512
)

// roster is the table of known members. The task owns it.
type roster struct {
	self      Member
	readOrder uint64 // of self
	// declaredDown is set when others say that this instance is down.
	declaredDown bool
	peers        map[netip.Addr]*peer
}

func newRoster(self Member) *roster {
	return &roster{self: self, readOrder: self.readOrderHash(), peers: make(map[netip.Addr]*peer)}
}

// merge merges a statement. direct is true when it comes from the member itself.
// It reports whether the member should be asked, since what others say differs
// from what is known here.
func (r *roster) merge(now time.Duration, m Member, direct bool) (probe bool) {
	if m.IP == r.self.IP {
		// Only another instance's statement can be ahead than this one's own.
		ahead := int32(m.Heartbeat - r.self.Heartbeat)
		if m.Incarnation == r.self.Incarnation && (ahead > 0 || ahead == 0 && m.State.Has(Down)) {
			r.self.Heartbeat, r.declaredDown = m.Heartbeat+refutationMargin, true
		}
		return false
	}
	p := r.peers[m.IP]
	if p == nil {
		r.peers[m.IP] = &peer{Member: m, lastSeen: now, readOrder: m.readOrderHash()}
		return false
	}
	if direct {
		p.failures, p.aliveUntil = 0, now+contactValidity
	}
	restarted := m.Incarnation != p.Incarnation
	switch {
	case direct && !restarted && p.State.Has(Down) && !m.newer(&p.Member):
		// It runs, although others say that it is down. It hears so in the answer,
		// and tells all with a later heartbeat.
		p.lastSeen = now
		return false
	case !m.newer(&p.Member) || restarted && !direct && m.Incarnation == p.previousIncarnation:
		return !restarted && m.State.Has(Down) && r.live(now, p) && now-p.lastSeen > contactValidity
	}
	if restarted {
		p.previousIncarnation, p.revision = p.Incarnation, 0
	}
	if restarted || m.State != p.State {
		p.transmissions = 0
	}
	p.Member, p.lastSeen = m, now
	if p.failures == 0 || m.State.Has(Down) || now < p.probeNotBefore {
		return false
	}
	p.probeNotBefore = now + contactValidity
	return true // others reach it again
}

// recordFailure notes an exchange that got no answer, and returns how many recordFailure in a row.
func (r *roster) recordFailure(now time.Duration, ip netip.Addr) int {
	p := r.peers[ip]
	if p == nil {
		return 0
	}
	p.failures++
	if p.failures == downAfter && !p.State.Has(Down) {
		p.State |= Down
		p.aliveUntil = 0
		p.Heartbeat += uint32((now-p.lastSeen)/tickInterval) + downMargin
		p.transmissions = 0
	}
	return p.failures
}

// live reports whether a peer is believed to run.
func (r *roster) live(now time.Duration, p *peer) bool {
	return p.failures == 0 && (now < p.aliveUntil || !p.State.Has(Down))
}

// dueProbes returns the live peers that were silent for long and are to be asked.
func (r *roster) dueProbes(now time.Duration) []netip.Addr {
	silence := max(probeAfter, time.Duration(len(r.peers)+1)*probeAfterPerMember)
	var list []netip.Addr
	for _, p := range r.peers {
		if len(list) < maxProbesPerTick && now-p.lastSeen > silence && now >= p.probeNotBefore && r.live(now, p) {
			p.probeNotBefore = now + contactValidity
			list = append(list, p.IP)
		}
	}
	return list
}

// livePeers returns the peers that are believed to run, by address.
func (r *roster) livePeers(now time.Duration) []*peer { return r.byLiveness(now, true) }

// silentPeers returns the peers that are not believed to run, by address.
func (r *roster) silentPeers(now time.Duration) []*peer { return r.byLiveness(now, false) }

func (r *roster) byLiveness(now time.Duration, live bool) []*peer {
	list := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		if r.live(now, p) == live {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return a.IP.Compare(b.IP) })
	return list
}

// memberUpdates returns what to tell a peer of other members: what others say of the peer
// itself, the readers, since all instances wait for their memberUpdates, changes that were
// told too seldom, and some of those that were heard last.
func (r *roster) memberUpdates(now time.Duration, to netip.Addr) []Member {
	var about, readers, changed, others []*peer
	limit := retransmitLimit(len(r.peers))
	for _, p := range r.peers {
		switch {
		case p.IP == to:
			about = append(about, p)
		case len(readers) < maxReadersSent && p.State.Has(Reading) && r.live(now, p):
			readers = append(readers, p)
		case p.transmissions < limit:
			changed = append(changed, p)
		case len(others) < refreshSample: // maps are walked in random order
			others = append(others, p)
		}
	}
	slices.SortFunc(changed, func(a, b *peer) int { return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), a.IP.Compare(b.IP)) })
	slices.SortFunc(others, func(a, b *peer) int { return cmp.Or(cmp.Compare(b.lastSeen, a.lastSeen), a.IP.Compare(b.IP)) })
	changed = changed[:min(maxChangedMembers, len(changed))]
	for _, p := range changed {
		p.transmissions++
	}
	members := make([]Member, 0, 1+len(readers)+len(changed)+maxRefreshed)
	for _, list := range [][]*peer{about, readers, changed, others[:min(maxRefreshed, len(others))]} {
		for _, p := range list {
			members = append(members, p.Member)
		}
	}
	return members
}

// retransmitLimit is how often an instance passes something on so that it reaches all
// members.
func retransmitLimit(members int) int {
	return minTransmissions + transmissionsPerDoubling*bits.Len(uint(members))
}

// initialMembers returns the members that a new instance is told of.
func (r *roster) initialMembers() []Member {
	members := make([]Member, 0, min(maxInitialMembers, len(r.peers)))
	for _, p := range r.peers {
		if len(members) < maxInitialMembers {
			members = append(members, p.Member)
		}
	}
	return members
}

// removeSilent drops members that were silent for long.
func (r *roster) removeSilent(now time.Duration) {
	for ip, p := range r.peers {
		if now-p.lastSeen > removeAfter {
			delete(r.peers, ip)
		}
	}
}
