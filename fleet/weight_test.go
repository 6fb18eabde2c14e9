package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against budgets of the fleet that the shares of uneven instances exceed together,
// and against a share for an instance of unknown capacity that is larger than the others'.
func TestSharesOfUnevenInstancesFitTheWhole(t *testing.T) {
	is := is.New(t)
	list := []Instance{{Capacity: 800}, {Capacity: 800}, {Capacity: 112}, {Capacity: 112}, {Capacity: 0}}
	whole := 0.0
	sizes := make([]int, len(list))
	for n, self := range list {
		s := &Snapshot{self: self}
		for m, other := range list {
			if m != n {
				s.members = append(s.members, other)
			}
		}
		sizes[n] = s.effectiveSize()
		whole += 1 / float64(sizes[n])
	}
	is.True(whole <= 1)
	is.True(sizes[0] < sizes[2])
	is.Equal(sizes[4], sizes[2])
	even := &Snapshot{self: Instance{}, members: make([]Instance, 9)}
	is.Equal(even.effectiveSize(), 10)
}
