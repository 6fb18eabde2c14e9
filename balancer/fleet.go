package balancer

import (
	"slices"
	"time"
)

// Fleet is what is known of the instances.
type Fleet struct {
	// Instances is the largest number of instances that may be alive. Zero: unknown.
	Instances int
	// Members lists the identifiers of the live instances, sorted.
	Members []string
	// Self is this instance's identifier.
	Self string
}

// SetFleet replaces what is known of the instances.
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

// memberHashes returns the hashes of the live members, this instance first.
// It is nil while the fleet is unknown.
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
