package fleet

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// probeAfter and probeAfterPerMember determine how long a member may be silent before
	// it is probed: probeAfter, or probeAfterPerMember times the size of the fleet if that
	// is longer, about five times the mean time between updates of a member. A silent
	// member is not necessarily down: with a limit of 1.6 s members of a healthy fleet of
	// 20 were repeatedly taken for down.
	probeAfter          = 4 * time.Second
	probeAfterPerMember = 150 * time.Millisecond
	// maxProbesPerTick bounds the silent members that are probed in one tick. After a
	// pause of this process all members are silent.
	maxProbesPerTick = 4
	// downAfter is the number of failed exchanges in a row after which a member is
	// reported down. The second exchange follows the first at once, on a new connection,
	// so that a single lost packet does not make a member count as down.
	downAfter = 2
	// downMargin is added to the heartbeat of a report that a member is down, so that the
	// report is later than all heartbeats that others may have received from the member.
	downMargin = 20
	// refutationMargin is added to the heartbeat with which a member refutes such a
	// report, so that the refutation is later than reports by other instances.
	refutationMargin = 100
	// contactValidity is how long after a direct contact or a heartbeat a report that the
	// member is down is ignored. A later report causes a probe of the member. It is also
	// the shortest time between two probes of a member.
	contactValidity = time.Second
	// removeAfter is how long a silent member is kept and contacted, so that the parts of
	// a fleet find each other after a partition.
	removeAfter = 120 * time.Second
	// contactGap is the time without contact after which an instance may have missed reports
	// of members that are down. Each is repeated for longer than that, and an instance with
	// eight exchanges a second has a gap of a second by chance.
	contactGap = 2 * time.Second
	// reannounceInterval is the least time between two repetitions of the reports of members
	// that are down, and so bounds their bytes while links fail and recover.
	reannounceInterval = time.Second
	// suspicionValidity is how long the report of another failure domain counts that a member
	// does not answer there: longer than two exchanges with it take.
	suspicionValidity = 3 * time.Second
	// witnesses is the number of instances that are asked to confirm that a member is down;
	// one of them may be down itself.
	witnesses = 2
)

// Bounds of the other members that one exchange contains.
const (
	// maxChangedMembers bounds the changed members. Each instance transmits a change a
	// number of times that grows with the logarithm of the fleet, see retransmitLimit, so
	// that the change almost certainly reaches all.
	maxChangedMembers        = 48
	minTransmissions         = 4
	transmissionsPerDoubling = 2
	// maxReadersSent bounds the readers of the store. There are more of them only while
	// the fleet starts.
	maxReadersSent = 6
	// maxRefreshed bounds the unchanged members. They are those seen most recently in a
	// sample of refreshSample.
	maxRefreshed  = 8
	refreshSample = 12
	// maxInitialMembers bounds the members that are sent to a new peer.
	maxInitialMembers = 512
)

// roster is the table of known members. The task owns it; it is not safe for concurrent
// use.
type roster struct {
	self      Member
	readOrder uint64 // of self
	// declaredDown is set when others report this instance as down, until the task has
	// scheduled the refutation.
	declaredDown bool
	peers        map[netip.Addr]*peer
	// lastContact is when a peer last answered or called, reachedSince when that began after
	// a time without any.
	lastContact, reachedSince time.Duration
	reannouncedAt             time.Duration
}

func newRoster(self Member) *roster {
	return &roster{self: self, readOrder: self.readOrderHash(), peers: make(map[netip.Addr]*peer)}
}

// merge merges the state of a member. direct is true if it comes from the member itself.
// It reports whether the member should be probed, since the reports of others contradict
// what is known here.
func (r *roster) merge(now time.Duration, m Member, direct bool) (probe bool) {
	if direct {
		r.contacted(now)
	}
	if m.IP == r.self.IP {
		// A state with a later heartbeat than this instance's own is a report by another
		// instance that this one is down.
		ahead := int32(m.Heartbeat - r.self.Heartbeat)
		if m.Incarnation == r.self.Incarnation && (ahead > 0 || ahead == 0 && m.State.Has(Down)) {
			r.self.Heartbeat, r.declaredDown = m.Heartbeat+refutationMargin, true
		}
		return false
	}
	p := r.peers[m.IP]
	if m.State.Has(Suspected) {
		return p != nil && r.suspect(now, p)
	}
	if p == nil {
		r.peers[m.IP] = &peer{Member: m, lastSeen: now, readOrder: m.readOrderHash()}
		return false
	}
	if direct {
		if p.failures >= downAfter || p.State.Has(Down) {
			r.reannounceDown(now)
		}
		p.failures, p.aliveUntil = 0, now+contactValidity
	}
	restarted := m.Incarnation != p.Incarnation
	switch {
	case direct && !restarted && p.State.Has(Down) && !m.newer(&p.Member):
		// The member runs although others report it as down. It learns this from the
		// answer and refutes it with a later heartbeat.
		p.lastSeen = now
		return false
	case !m.newer(&p.Member) || restarted && !direct && m.Incarnation == p.previousIncarnation:
		return !restarted && m.State.Has(Down) && r.live(now, p) && now-p.lastSeen > contactValidity
	}
	if restarted {
		p.previousIncarnation, p.position, p.reports = p.Incarnation, records.Position{}, reportSync{}
	}
	if !restarted && p.State.Has(Down) && !m.State.Has(Down) {
		r.reannounceDown(now)
	}
	if restarted || m.State != p.State {
		p.transmissions = 0
	}
	p.Member, p.lastSeen = m, now
	if m.State.Has(StoreFailed) {
		p.storeFailedSeen = now
	}
	if p.failures == 0 || m.State.Has(Down) || now < p.probeNotBefore {
		return false
	}
	p.probeNotBefore = now + contactValidity
	return true // others received a new state of it, so it may be reachable again
}

// recordFailure records a failed exchange with a member and returns how many have failed
// in a row, 0 for an unknown member. At downAfter failures the member is marked down, unless
// it is in another failure domain and a third one can be asked: the link between the two
// may be cut while all others reach the member.
func (r *roster) recordFailure(now time.Duration, ip netip.Addr) int {
	p := r.peers[ip]
	if p == nil {
		return 0
	}
	p.failures++
	if p.failures == downAfter && (now < p.suspectedUntil || len(r.witnessesOf(now, p)) == 0) {
		r.markDown(now, p)
	}
	return p.failures
}

// markDown marks a member as down, which is passed on.
func (r *roster) markDown(now time.Duration, p *peer) {
	if p.State.Has(Down) {
		return
	}
	p.State |= Down
	p.aliveUntil = 0
	p.Heartbeat += uint32((now-p.lastSeen)/tickInterval) + downMargin
	p.transmissions = 0
}

// suspect handles the report of an instance of another failure domain that a member does not
// answer there. The member is down if it does not answer here, either. It reports whether
// the member is to be probed for that.
func (r *roster) suspect(now time.Duration, p *peer) (probe bool) {
	p.suspectedUntil = now + suspicionValidity
	if p.failures >= downAfter {
		r.markDown(now, p)
		return false
	}
	return !p.State.Has(Down)
}

// witnessesOf returns the live members that can tell whether a member is down or only the link
// to its failure domain is cut: those of third domains, in random order, at most witnesses. A member
// of this instance's own domain, or one that is already known to be down, needs none.
func (r *roster) witnessesOf(now time.Duration, p *peer) []netip.Addr {
	if p.Domain == r.self.Domain || p.State.Has(Down) {
		return nil
	}
	var list []netip.Addr
	for _, other := range r.peers { // maps are iterated in random order
		if len(list) < witnesses && other.Domain != p.Domain && other.Domain != r.self.Domain && !other.State.Has(Leaving) && r.live(now, other) {
			list = append(list, other.IP)
		}
	}
	return list
}

// live reports whether a peer is believed to be running.
func (r *roster) live(now time.Duration, p *peer) bool {
	return p.failures == 0 && (now < p.aliveUntil || !p.State.Has(Down))
}

// callable reports whether a peer can be named to callers. After a time without contact the
// reports of members that went down meanwhile are missing, so only those count of which a new
// state has arrived since.
func (r *roster) callable(now time.Duration, p *peer) bool {
	return p.State.Has(Ready) && !p.State.Has(Leaving) && r.live(now, p) && p.lastSeen >= r.reachedSince
}

// contacted records that a peer answered or called.
func (r *roster) contacted(now time.Duration) {
	if now-r.lastContact > contactGap {
		r.reachedSince = now
	}
	r.lastContact = now
}

// reannounceDown repeats the reports of the members that are down: a link has recovered, and
// those behind it may have missed them.
func (r *roster) reannounceDown(now time.Duration) {
	if now-r.reannouncedAt < reannounceInterval {
		return
	}
	r.reannouncedAt = now
	for _, p := range r.peers {
		if p.State.Has(Down) {
			p.transmissions = 0
		}
	}
}

// dueProbes returns live peers that have been silent for too long and are to be probed
// now, at most maxProbesPerTick.
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

// livePeers returns the peers that are believed to be running, sorted by address.
func (r *roster) livePeers(now time.Duration) []*peer { return r.byLiveness(now, true) }

// silentPeers returns the peers that are not believed to be running, sorted by address.
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

// memberUpdates returns the members to send to a peer: the peer itself as known here, so
// that it can refute a report that it is down; the live readers, on whose heartbeats all
// instances rely; changed members that have not reached the retransmit limit; and some
// of those seen most recently. It counts the transmissions of the changed members.
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
		case len(others) < refreshSample: // a sample: maps are iterated in random order
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

// retransmitLimit returns how often an instance transmits a change so that it reaches all
// members with near certainty.
func retransmitLimit(members int) int {
	return minTransmissions + transmissionsPerDoubling*bits.Len(uint(members))
}

// initialMembers returns the members to send to an instance that is new to this one, at
// most maxInitialMembers.
func (r *roster) initialMembers() []Member {
	members := make([]Member, 0, min(maxInitialMembers, len(r.peers)))
	for _, p := range r.peers {
		if len(members) < maxInitialMembers {
			members = append(members, p.Member)
		}
	}
	return members
}

// removeSilent removes the members that have been silent for longer than removeAfter.
func (r *roster) removeSilent(now time.Duration) {
	for ip, p := range r.peers {
		if now-p.lastSeen > removeAfter {
			delete(r.peers, ip)
		}
	}
}
