package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against budgets of the fleet that the shares of uneven instances exceed together.
// Instances of unknown capacity run an older build, in which each takes an equal part.
func TestSharesOfUnevenInstancesFitTheWhole(t *testing.T) {
	is := is.New(t)
	for _, capacities := range [][]uint32{{800, 800, 112, 112, 112}, {112, 784, 0, 0, 0, 112}, {784, 0, 0}, {0, 0, 0}} {
		whole := 0.0
		for n, capacity := range capacities {
			selves, others := []Instance{{Capacity: capacity}}, []Instance(nil)
			for m, other := range capacities {
				if m != n {
					others = append(others, Instance{Capacity: other})
				}
			}
			setWeights(selves, others)
			size := len(capacities)
			if capacity > 0 {
				size = effectiveSize(selves[0], others)
			}
			whole += 1 / float64(size)
		}
		is.True(whole <= 1+1e-9) // the shares of the instances with these capacities
	}
}

// Guards against an instance with a higher capacity that gets no larger share, and against
// equal ones whose shares differ.
func TestSharesFollowCapacity(t *testing.T) {
	is := is.New(t)
	size := func(capacity uint32, others ...Instance) int {
		selves := []Instance{{Capacity: capacity}}
		setWeights(selves, others)
		return effectiveSize(selves[0], others)
	}
	light, heavy := Instance{Capacity: 112}, Instance{Capacity: 784}
	is.Equal(size(784, heavy, light, light, light), 3)
	is.True(size(112, heavy, heavy, light, light) > 30)
	is.Equal(size(112, light, light, light), 4)
	is.Equal(size(0, Instance{}, Instance{}), 3)
}
