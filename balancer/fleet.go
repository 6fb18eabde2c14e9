package balancer

import (
	"slices"
	"time"
)

// Fleet describes the instances of the fleet.
type Fleet struct {
	// Instances is the largest number of instances that may be alive. Zero
	// means unknown.
	Instances int
	// Members lists the identifiers of the live instances, sorted.
	Members []string
	// Self is this instance's identifier.
	Self string
}

// SetFleet replaces the view of the fleet. It copies the list of members.
func (b *Balancer) SetFleet(now time.Duration, f Fleet) {
	b.advance(now)
	b.budget.setInstances(f.Instances)
	if f.Self == b.fleet.Self && slices.Equal(f.Members, b.fleet.Members) {
		b.fleet.Instances = f.Instances
		return
	}
	f.Members = slices.Clone(f.Members)
	b.fleet = f
	b.recompute()
}

// memberHashes returns the hashes of the identifiers of the live members, this
// instance first, or nil if the members are unknown.
func (b *Balancer) memberHashes() []uint64 {
	if len(b.fleet.Members) == 0 {
		return nil
	}
	hashes := make([]uint64, 1, len(b.fleet.Members)+1)
	hashes[0] = hashName(b.fleet.Self)
	for _, m := range b.fleet.Members {
		if m != b.fleet.Self {
			hashes = append(hashes, hashName(m))
		}
	}
	return hashes
}
