package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

const (
	// minReferredRecords is the number of records from which an instance without any is
	// referred to others. Fewer cost little more than the answer that refers it.
	minReferredRecords = 64
	// minSources is the number of ready instances in the failure domain of an instance
	// without records that must be known before it is referred to them.
	minSources = 2
	// fullListsPerSecond is the number of full lists that an instance sends in a second to
	// instances of its failure domain before it refers others. After a loss of many
	// instances all that start ask the same seeds.
	fullListsPerSecond = 4
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
// domain, and sources the number of ready instances in its domain.
func (f *fullLists) refer(now time.Duration, m Member, near bool, sources int) bool {
	if second := now.Truncate(time.Second); second != f.second {
		f.second, f.sent = second, 0
	}
	incarnation, again := f.referred[m.IP]
	if sources < minSources || again && incarnation == m.Incarnation || near && f.sent < fullListsPerSecond {
		f.sent++
		return false
	}
	if f.referred == nil {
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
	return t.fullLists.refer(now, m, m.Domain == t.options.Domain, len(t.sources(now, m.Domain, m.IP)))
}

// sources returns the ready instances of a failure domain, without the instance that asks.
func (t *Task) sources(now time.Duration, domain int, asks netip.Addr) []*peer {
	var list []*peer
	for _, p := range t.roster.peers {
		if p.Domain == domain && p.IP != asks && p.State.Has(Ready) && t.roster.live(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// requestRecords requests the records of a peer with a later position. An instance without
// records requests them in its own failure domain, unless a request there is in progress.
func (t *Task) requestRecords(now time.Duration, from netip.Addr) {
	if t.set.Empty() {
		list := t.sources(now, t.options.Domain, t.options.IP)
		for _, p := range list {
			if t.exchanging[p.IP] {
				return
			}
		}
		if len(list) > 0 {
			from = list[rand.IntN(len(list))].IP
		}
	}
	t.contact(now, from, broadcast{})
}
