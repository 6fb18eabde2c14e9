package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// silentAfter is how long a heartbeat may take to arrive: news of a member
	// needs about log2(n) exchanges of exchangeInterval.
	silentAfter = 1600 * time.Millisecond
	// forgetAfter is how long a silent member is still contacted, so that the
	// parts of a fleet find each other after a partition.
	forgetAfter = 120 * time.Second
)

// roster is the table of known members. The task owns it.
type roster struct {
	self  Member
	peers map[netip.Addr]*peer
}

func newRoster(self Member) *roster {
	return &roster{self: self, peers: make(map[netip.Addr]*peer)}
}

// learn merges a statement. direct is true when it comes from the member itself.
func (r *roster) learn(now time.Duration, m Member, direct bool) {
	if m.IP == r.self.IP {
		return
	}
	p := r.peers[m.IP]
	if p == nil {
		r.peers[m.IP] = &peer{Member: m, heard: now}
		return
	}
	if direct {
		p.failures = 0
	}
	restarted := m.Incarnation != p.Incarnation
	if !m.newer(&p.Member) || restarted && !direct && m.Incarnation == p.former {
		return
	}
	if restarted {
		p.former, p.revision = p.Incarnation, 0
	}
	p.Member, p.heard = m, now
}

// failed notes an exchange that got no answer.
func (r *roster) failed(ip netip.Addr) {
	if p := r.peers[ip]; p != nil {
		p.failures++
	}
}

// live reports whether a peer is believed to run.
func (p *peer) live(now time.Duration) bool {
	return now-p.heard <= silentAfter && p.failures == 0
}

// livePeers returns the peers that are believed to run, by address.
func (r *roster) livePeers(now time.Duration) []*peer {
	var list []*peer
	for _, p := range r.peers {
		if p.live(now) {
			list = append(list, p)
		}
	}
	sortPeers(list)
	return list
}

// silentPeers returns the peers that are not believed to run, by address.
func (r *roster) silentPeers(now time.Duration) []*peer {
	var list []*peer
	for _, p := range r.peers {
		if !p.live(now) {
			list = append(list, p)
		}
	}
	sortPeers(list)
	return list
}

// latest returns up to n members to tell others of: readers first, since all
// instances wait for their news, then those with the most recent news.
func (r *roster) latest(n int) []Member {
	list := make([]*peer, 0, len(r.peers))
	for _, p := range r.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Or(compareFlag(b.State.Has(Reading), a.State.Has(Reading)), cmp.Compare(b.heard, a.heard), a.IP.Compare(b.IP))
	})
	members := make([]Member, 0, n)
	for _, p := range list[:min(n, len(list))] {
		members = append(members, p.Member)
	}
	return members
}

func compareFlag(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// forget drops members that were silent for long.
func (r *roster) forget(now time.Duration) {
	for ip, p := range r.peers {
		if now-p.heard > forgetAfter {
			delete(r.peers, ip)
		}
	}
}

func sortPeers(list []*peer) {
	slices.SortFunc(list, func(a, b *peer) int { return a.IP.Compare(b.IP) })
}
