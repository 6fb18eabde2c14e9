package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/fleet"
)

// minListed is the least number of instances in a list that leaves some out, so that a
// caller has others to try when one fails.
const minListed = 5

// chooseByWeight returns the instances that a caller uses. Callers take one of the list at
// random, so the instances get their weight's part of the load only if lists have fewer of
// the lighter ones: a list has as many entries as the heaviest instance's part of the whole
// weight allows. The choice for a caller changes only with the instances, so that its open
// connections stay in use. It returns all if their weights are equal.
func chooseByWeight(list []fleet.Instance, caller string) []fleet.Instance {
	smallest := fleet.SmallestCapacity(list)
	sum, heaviest := 0.0, 0.0
	for _, i := range list {
		w := i.Weight(smallest)
		sum += w
		heaviest = max(heaviest, w)
	}
	if heaviest <= 1 {
		return list
	}
	count := max(minListed, int(math.Round(sum/heaviest)))
	if count >= len(list) {
		return list
	}
	type ranked struct {
		fleet.Instance
		key float64
	}
	order := make([]ranked, len(list))
	for n, i := range list {
		order[n] = ranked{i, callerKey(caller, i) / i.Weight(smallest)}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	chosen := make([]fleet.Instance, count)
	for n := range chosen {
		chosen[n] = order[n].Instance
	}
	return chosen
}

// callerKey returns a number from 0 to 1 that depends on the caller and the instance only.
// The lowest ones after division by the weights choose each instance about as often as its
// weight demands (sequential Poisson sampling).
func callerKey(caller string, i fleet.Instance) float64 {
	ip := i.IP.As4()
	h := xxhash.New()
	_, _ = h.WriteString(caller) // a hash never fails
	_, _ = h.Write(ip[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}
