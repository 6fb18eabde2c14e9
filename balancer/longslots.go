package balancer

// longCap returns the number of slots that long requests may use: half, rounded
// down, and at least one. The rest stays reserved for short requests. A target
// with a single slot runs both, because its pool could not run long requests
// otherwise.
func (t *target) longCap() int {
	slots := t.usableSlots()
	return max(1, slots/2)
}

// assignLongSlots assigns each long slot of the pool to one live member that
// uses the target: the first slot to the member with the highest hash for the
// target, the next one to the member with the second highest, and so on.
func (b *Balancer) assignLongSlots() {
	for _, t := range b.allTargets {
		t.assignedLongSlots = 0
		if len(b.fleet.Members) == 0 {
			continue
		}
		// Use the configured slots, because all members agree on them.
		for slot := t.hashRank; slot < max(1, t.slots/2) && t.hashRank < b.coverage; slot += b.coverage {
			t.assignedLongSlots++
		}
	}
}

// LongShare returns the number of long requests that this instance may have in
// flight: its assigned long slots at targets that are not draining, at least 1.
// Because of that minimum, the sum over the fleet may exceed the long slots by
// the number of members without one. It is 1 while the members are unknown. In
// a pool with long requests only, it is twice the slots, so that only the
// admission window limits them.
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

// longInFlight returns the number of long requests of this instance in flight.
func (b *Balancer) longInFlight() int {
	n := 0
	for _, t := range b.allTargets {
		n += t.longInFlight
	}
	return n
}

// longAllowed reports whether one more long request may be sent to the target.
// With assignedOnly, a slot assigned to this instance must be free.
func (b *Balancer) longAllowed(t *target, assignedOnly bool) bool {
	if assignedOnly && t.longInFlight >= t.assignedLongSlots {
		return false
	}
	otherLong := 0
	if t.load.valid && b.now-t.load.writtenAt <= b.options.MaxReportAge && t.trust.weight() > 0 {
		otherLong = t.load.otherLong
	}
	return t.longInFlight+otherLong < t.longCap()
}
