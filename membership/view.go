package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what the decisions need to know of the instances.
type Fleet struct {
	// Instances is the largest number of instances that may be alive. Zero: unknown.
	Instances int
	// Members lists the live instances that are not leaving, sorted. It has
	// this instance unless that is leaving.
	Members []string
	// Self is this instance's identifier.
	Self string
}

// View is an immutable picture of the fleet.
type View struct {
	Fleet
	// SelfPeer describes this instance.
	SelfPeer Peer
	// Peers are the known other instances, sorted by identifier.
	Peers []Peer
	// Draining are the addresses of targets seen or listed draining, sorted.
	Draining []string
	// Stale is set after a pause until a peer or the list was reached.
	Stale bool
	// ListRead says that the platform's list was read at least once.
	ListRead bool
	// Rejected counts messages and entries that were not used.
	Rejected uint64

	listedPeers []string // identifiers of the live peers in the list
}

// View returns the present picture.
func (m *Members) View(now time.Duration) *View {
	v := &View{Fleet: Fleet{Instances: m.MaxAlive(now), Self: m.self.ID}, SelfPeer: m.self,
		Stale: m.stale, ListRead: m.listRead, Rejected: m.rejected, Peers: make([]Peer, 0, len(m.members))}
	if !m.self.Leaving {
		v.Members = append(v.Members, m.self.ID)
	}
	for _, o := range m.members {
		p := o.peer(now)
		v.Peers = append(v.Peers, p)
		if p.Liveness != Dead && !p.Leaving {
			v.Members = append(v.Members, p.ID)
		}
		if o.listed && p.Liveness != Dead {
			v.listedPeers = append(v.listedPeers, p.ID)
		}
	}
	slices.Sort(v.Members)
	v.Draining = slices.Clone(m.leavingTargets)
	for _, t := range m.draining.targets {
		v.Draining = append(v.Draining, t.address)
	}
	slices.Sort(v.Draining)
	v.Draining = slices.Compact(v.Draining)
	return v
}

// changed reports a difference in what readers act on.
func (v *View) changed(old *View) bool {
	return old == nil || v.Instances != old.Instances || v.Stale != old.Stale ||
		!slices.Equal(v.Members, old.Members) || !slices.Equal(v.Draining, old.Draining)
}

// Peer returns the peer with the given identifier.
func (v *View) Peer(id string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// ByIncarnation returns the peer that runs as i, for Settle.
func (v *View) ByIncarnation(i Incarnation) (Peer, bool) {
	for _, p := range v.Peers {
		if p.Incarnation == i && i != (Incarnation{}) {
			return p, true
		}
	}
	return Peer{}, false
}

// Owner returns the identifier of the live instance that is responsible for a
// key, this instance included, by rendezvous hash. False without live instances.
func (v *View) Owner(key []byte) (string, bool) {
	var owner string
	var highest uint64
	h := xxhash.New()
	for _, id := range v.Members {
		h.Reset()
		_, _ = h.WriteString(id)     // never fails
		_, _ = h.Write([]byte{0xff}) // ends the identifier
		_, _ = h.Write(key)
		if sum := h.Sum64(); owner == "" || sum > highest {
			owner, highest = id, sum
		}
	}
	return owner, owner != ""
}
