package balancer

// longCap is the number of slots that long work may hold. About half, and at
// least one, stay reserved for short work; a target with a single slot runs
// both, since its pool could run no long work otherwise.
func (t *target) longCap() int {
	slots := t.usableSlots()
	return max(1, slots/2)
}

// assignLongSlots gives each long slot of the pool to one live member that uses
// the target: the first slot to the member with the highest hash for the
// target, the next one to the member with the second highest, and so on.
func (b *Balancer) assignLongSlots() {
	for _, t := range b.allTargets {
		t.assignedLongSlots = 0
		if len(b.fleet.Members) == 0 {
			continue
		}
		// The table's slots, on which all members agree.
		for slot := t.hashRank; slot < max(1, t.slots/2) && t.hashRank < b.coverage; slot += b.coverage {
			t.assignedLongSlots++
		}
	}
}

// LongShare returns the number of long requests that this instance may hold in
// flight: its long slots at targets that are not draining, at least 1. The
// least of 1 lets the sum over the fleet exceed the slots by the number of
// members without a slot. It is 1 while the members are unknown. In a pool with
// long work only, it is twice the slots, which leaves the bound to the window.
func (b *Balancer) LongShare() int {
	if b.longOnly {
		return max(1, 2*b.Slots())
	}
	if len(b.fleet.Members) == 0 {
		return 1
	}
	n := 0
	for _, t := range b.allTargets {
		if !t.drainSignals.any() {
			n += t.assignedLongSlots
		}
	}
	return max(1, n)
}

// longInFlight is the number of own long requests in flight.
func (b *Balancer) longInFlight() int {
	n := 0
	for _, t := range b.allTargets {
		n += t.longInFlight
	}
	return n
}

// longAllowed reports whether one more long request may go to the target.
// With assignedOnly, the slot must be one that was assigned to this instance.
func (b *Balancer) longAllowed(t *target, assignedOnly bool) bool {
	if assignedOnly && t.longInFlight >= t.assignedLongSlots {
		return false
	}
	otherLong := 0
	if t.load.valid && b.now-t.load.at <= b.options.MaxReportAge && t.trust.weight() > 0 {
		otherLong = t.load.otherLong
	}
	return t.longInFlight+otherLong < t.longCap()
}
