package fleet

import "math"

// weightExponent relates the load of an instance to its capacity. The processor time of a
// request passes faster on an instance with a higher capacity, so the mean latency is lower
// if such an instance gets more than its share of the capacity. A higher exponent puts more
// of the callers on a few instances, whose loss then concerns more of them.
const weightExponent = 1.5

// setWeights sets the weight of each instance from its capacity and the smallest one known.
// Those of unknown capacity have the weight 1, as those with the smallest.
func setWeights(lists ...[]Instance) {
	var smallest uint32
	for _, list := range lists {
		for _, i := range list {
			if i.Capacity > 0 && (smallest == 0 || i.Capacity < smallest) {
				smallest = i.Capacity
			}
		}
	}
	capacity, weight := uint32(0), 1.0 // of the last instance: most have the same
	for _, list := range lists {
		for n := range list {
			if c := list[n].Capacity; c != capacity {
				capacity, weight = c, 1
				if c > smallest {
					weight = math.Pow(float64(c)/float64(smallest), weightExponent)
				}
			}
			list[n].Weight = weight
		}
	}
}

// effectiveSize returns EffectiveSize for an instance and others that may be running. One
// of unknown capacity, which runs an older build or is known by its address only, takes an
// equal part of each budget, so it counts as no lighter than this one.
func effectiveSize(self Instance, others []Instance) int {
	sum := self.Weight
	for _, i := range others {
		if i.Capacity == 0 {
			sum += self.Weight
		} else {
			sum += i.Weight
		}
	}
	return max(1, int(math.Ceil(sum/self.Weight)))
}

// instance returns the member as an instance without its weight.
func (m *Member) instance() Instance {
	return Instance{IP: m.IP, Domain: m.Domain, Capacity: m.Capacity, CutOff: m.State.Has(CutOff)}
}
