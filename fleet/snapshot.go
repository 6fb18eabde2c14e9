package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the membership of the fleet as this instance sees it. It is immutable.
type Snapshot struct {
	// Live are the instances that callers can use: ready, not leaving and believed to
	// run. It includes this one while it is ready. The order is arbitrary.
	Live []Instance
	// Size is the number of instances that may be running, this one included, by which
	// fleet-wide budgets are divided. An instance that falls silent counts for a while, and
	// so do the seeds while this instance knows no other.
	Size int
	// EffectiveSize is the number of instances that may be running if all were like this
	// one: the sum of their weights as a multiple of its own, rounded up. Budgets of the
	// fleet that are used with each request are divided by it. It is 1 at least.
	EffectiveSize int
	// Isolated is true while this instance has no contact with any of the others that may
	// be running, so that it does not learn what they find. Seeds that it has never reached
	// are such others.
	Isolated bool
	// members are the instances that Size counts, without this one, self.
	members []Instance
	self    Instance
	// noShare is true while this instance stops, or has just started and may not know the
	// others yet.
	noShare bool
}

// Share reports whether this instance is among the n instances that share a key, and how
// many there are if the fleet is smaller. Instances that see the same members agree. Those
// of the given failure domain come first. One that stops has no share, nor has one that has
// just started before it knows others.
func (s *Snapshot) Share(key uint64, domain, n int) (mine bool, of int) {
	own, rank := shareOrder(key, s.self), 0
	for _, m := range s.members {
		order := shareOrder(key, m)
		sameOrder := m.Domain == unknownDomain || (m.Domain == domain) == (s.self.Domain == domain)
		if sameOrder && order < own || !sameOrder && m.Domain == domain {
			rank++
		}
	}
	return !s.noShare && rank < n, min(n, len(s.members)+1)
}

// shareOrder returns the sort key of an instance among those that may share a key.
func shareOrder(key uint64, i Instance) uint64 {
	var b [12]byte // on the stack: this runs for each member and each target with an owner
	ip := i.IP.As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint64(b[len(ip):], key)
	return xxhash.Sum64(b[:])
}

// unknownDomain is the domain of an instance of which only the address is known. It counts
// as being as near as this instance.
const unknownDomain = -1

// Instance is one live instance. Domain is the index of its failure domain.
type Instance struct {
	IP     netip.Addr
	Domain int
	// Capacity is that of Member.
	Capacity uint32
	// CutOff is true if the instance says that no target answers it.
	CutOff bool
	// Weight is the load that the instance should get, relative to others: 1 for those with
	// the smallest capacity.
	Weight float64
}
