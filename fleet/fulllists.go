package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

const (
	// minReferredRecords is the number of records from which an instance without any is
	// referred to others. Fewer cost little more than the answer that refers it.
	minReferredRecords = 64
	// minSources is the number of other live instances in the failure domain of an instance
	// without records that must be known before it is referred to them. They have the
	// records, or get them from the first broadcast to the domain.
	minSources = 2
	// fullListsPerSecond is the number of full lists that an instance sends in a second to
	// instances of its failure domain before it refers others. After a loss of many
	// instances all that start ask the same seeds.
	fullListsPerSecond = 4
	// maxReferred bounds the instances that are remembered as referred. When it is reached,
	// all are forgotten, and some may be referred once more.
	maxReferred = 4096
)

// fullLists decides which instances without records get all of them from this one. The
// others are referred to instances of their own failure domain, once each: one that comes
// back gets the list. The zero value is ready for use.
type fullLists struct {
	second   time.Duration // the second in which sent were sent
	sent     int
	referred map[netip.Addr]uint32 // incarnations of instances
}

// refer reports whether an instance is referred. near is true if it is in this failure
// domain, and sources the number of other live instances in its domain.
func (f *fullLists) refer(now time.Duration, m Member, near bool, sources int) bool {
	if second := now.Truncate(time.Second); second != f.second {
		f.second, f.sent = second, 0
	}
	incarnation, again := f.referred[m.IP]
	if sources < minSources || again && incarnation == m.Incarnation || near && f.sent < fullListsPerSecond {
		if near {
			f.sent++
		}
		return false
	}
	if f.referred == nil || len(f.referred) >= maxReferred {
		f.referred = make(map[netip.Addr]uint32)
	}
	f.referred[m.IP] = m.Incarnation
	return true
}

// refersToOthers reports whether a peer that has started an exchange without records is to get
// them from instances of its own failure domain.
func (t *Task) refersToOthers(now time.Duration, s *peerapi.FleetState) bool {
	if s.GetSelf() == nil || t.positionFromMessage(s).Revision > 0 || t.set.Len() < minReferredRecords {
		return false
	}
	m := memberFromMessage(s.GetSelf())
	return t.fullLists.refer(now, m, m.Domain == t.options.Domain, len(t.sources(now, m.Domain, m.IP, 0)))
}

// sources returns the live instances of a failure domain that have the flags, without the
// instance that asks and those that leave.
func (t *Task) sources(now time.Duration, domain int, asks netip.Addr, flags MemberState) []*peer {
	var list []*peer
	for _, p := range t.roster.peers {
		if p.Domain == domain && p.IP != asks && p.State&flags == flags && !p.State.Has(Leaving) && t.roster.live(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// requestRecords requests the records of a peer with a later position. An instance without
// records requests them in its own failure domain, unless a request there is in progress.
// If it knows of none that is ready there, it waits for the first broadcast to the domain.
// If it still has none with the next tick, it comes back to the peer, which then sends them:
// those of its domain may have lost theirs at the same time.
func (t *Task) requestRecords(now time.Duration, from netip.Addr) {
	if t.set.Empty() {
		t.referrer = from
		near := t.sources(now, t.options.Domain, t.options.IP, 0)
		if slices.ContainsFunc(near, func(p *peer) bool { return t.exchanging[p.IP] }) {
			return
		}
		ready := t.sources(now, t.options.Domain, t.options.IP, Ready)
		switch {
		case len(ready) > 0:
			from = ready[rand.IntN(len(ready))].IP
		case len(near) >= minSources:
			return
		}
	}
	t.contact(now, from, broadcast{})
}
