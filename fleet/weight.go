package fleet

import "math"

// weightExponent relates the load of an instance to its capacity. The processor time of a
// request passes faster on an instance with a higher capacity, so the mean latency is lower
// if such an instance gets more than its share of the capacity. With 2 it would be the
// first to be saturated at a third of the load that the fleet can carry.
const weightExponent = 1.5

// Weight returns the load that an instance should get, relative to others. One of unknown
// capacity has the weight of those with the least of the fleet, smallest.
func (i Instance) Weight(smallest uint32) float64 {
	if smallest == 0 || i.Capacity <= smallest {
		return 1
	}
	return math.Pow(float64(i.Capacity)/float64(smallest), weightExponent)
}

// SmallestCapacity returns the smallest known capacity of the instances, 0 if none is known.
func SmallestCapacity(list []Instance) uint32 {
	var smallest uint32
	for _, i := range list {
		if i.Capacity > 0 && (smallest == 0 || i.Capacity < smallest) {
			smallest = i.Capacity
		}
	}
	return smallest
}

// effectiveSize returns EffectiveSize from the members.
func (s *Snapshot) effectiveSize() int {
	smallest := SmallestCapacity(append([]Instance{s.self}, s.members...))
	own := s.self.Weight(smallest)
	sum := own
	for _, m := range s.members {
		sum += m.Weight(smallest)
	}
	return max(1, int(math.Ceil(sum/own)))
}

// instance returns the member as an instance.
func (m *Member) instance() Instance {
	return Instance{IP: m.IP, Domain: m.Domain, Capacity: m.Capacity}
}
