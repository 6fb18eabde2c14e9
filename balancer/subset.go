package balancer

// chooseSubset splits the targets into the subset used by this instance and the
// others. Each target of a large pool is used by the same number of live
// members, those with the highest hashes for it. So each target gets requests
// from equally many instances, and a change of one member moves few targets.
func (b *Balancer) chooseSubset() {
	members := b.memberHashes()
	b.subset, b.outsideSubset = b.allTargets, nil
	b.coverage = b.subsetCoverage(len(members))
	if len(members) == 0 {
		return
	}
	for _, t := range b.allTargets {
		t.hashRank = hashRank(members, t.hash)
	}
	if b.coverage >= len(members) {
		return
	}
	b.subset = nil
	for _, t := range b.allTargets {
		if t.hashRank < b.coverage {
			b.subset = append(b.subset, t)
		} else {
			b.outsideSubset = append(b.outsideSubset, t)
		}
	}
}

// minCoverage is the minimum number of instances that use a target.
const minCoverage = 3

// subsetCoverage returns the number of members that use each target.
func (b *Balancer) subsetCoverage(members int) int {
	if len(b.allTargets) <= b.options.SubsetSize {
		return members
	}
	coverage := (b.options.SubsetSize*members + len(b.allTargets) - 1) / len(b.allTargets)
	return min(members, max(minCoverage, coverage))
}

// hashRank returns the number of members whose hash for the target is higher
// than that of the first member.
func hashRank(members []uint64, target uint64) int {
	self := rendezvousHash(members[0], target)
	n := 0
	for _, m := range members[1:] {
		if rendezvousHash(m, target) > self {
			n++
		}
	}
	return n
}
