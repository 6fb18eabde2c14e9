package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the state of the instances that routing and admission depend on.
type Fleet struct {
	// Instances is an upper bound of the number of live instances, 0 if unknown.
	Instances int
	// Members lists the identifiers of the instances that are neither dead nor
	// leaving, sorted. It contains this instance unless it is leaving.
	Members []string
	// Self is this instance's identifier.
	Self string
}

// View is an immutable snapshot of the fleet as seen by one instance.
type View struct {
	Fleet
	// SelfPeer describes this instance.
	SelfPeer Peer
	// Peers are the known other instances, sorted by identifier.
	Peers []Peer
	// Draining are the addresses of the targets that instances saw draining or
	// that the platform's list has as leaving, sorted.
	Draining []string
	// Stale is set after a pause of the process until a call to a peer or to the
	// platform that was started after the pause succeeds.
	Stale bool
	// ListRead is set once the platform's list has been read.
	ListRead bool
	// Rejected counts rejected messages, and instances above the limit of members.
	Rejected uint64

	listedPeers []string // identifiers of the listed peers that are not dead
}

// View returns a snapshot at the given time.
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

// changed reports whether v differs from old in the fields that readers of the
// view act on.
func (v *View) changed(old *View) bool {
	return old == nil || v.Instances != old.Instances || v.Stale != old.Stale ||
		!slices.Equal(v.Members, old.Members) || !slices.Equal(v.Draining, old.Draining)
}

// Peer returns the peer with the given identifier, or false if it is unknown.
func (v *View) Peer(id string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// ByIncarnation returns the peer whose current incarnation is i, or false if
// there is none.
func (v *View) ByIncarnation(i Incarnation) (Peer, bool) {
	for _, p := range v.Peers {
		if p.Incarnation == i && i != (Incarnation{}) {
			return p, true
		}
	}
	return Peer{}, false
}

// Owner returns the identifier of the instance among Members that is responsible
// for a key, chosen by rendezvous hashing. It returns false if Members is empty.
func (v *View) Owner(key []byte) (string, bool) {
	var owner string
	var highest uint64
	h := xxhash.New()
	for _, id := range v.Members {
		h.Reset()
		_, _ = h.WriteString(id)     // never fails
		_, _ = h.Write([]byte{0xff}) // separates the identifier from the key
		_, _ = h.Write(key)
		if sum := h.Sum64(); owner == "" || sum > highest {
			owner, highest = id, sum
		}
	}
	return owner, owner != ""
}
