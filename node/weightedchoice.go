package node

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/fleet"
)

// minListed is the least number of instances in a list that leaves some out. A caller tries
// another one when one fails, and some may fail together.
const minListed = 5

// chooseByWeight returns the instances that a caller uses. Callers take one of the list at
// random, so the instances get their weight's part of the load only if lists have fewer of
// the lighter ones: a list has as many entries as the heaviest instance's part of the whole
// weight allows. The choice for a caller changes only with the instances, so that its open
// connections stay in use. It returns all if their weights are equal.
func chooseByWeight(list []fleet.Instance, caller string) []fleet.Instance {
	sum, heaviest, lightest := 0.0, 0.0, math.Inf(1)
	for _, i := range list {
		sum += i.Weight
		heaviest, lightest = max(heaviest, i.Weight), min(lightest, i.Weight)
	}
	if heaviest <= lightest {
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
		order[n] = ranked{i, callerKey(caller, i) / i.Weight}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	chosen := make([]fleet.Instance, count)
	for n := range chosen {
		chosen[n] = order[n].Instance
	}
	return chosen
}

// callerKey returns a number from 0 to less than 1 that depends on the caller and the instance only.
// The lowest ones after division by the weights choose each instance about as often as its
// weight demands (sequential Poisson sampling).
func callerKey(caller string, i fleet.Instance) float64 {
	ip := i.IP.As4()
	h := xxhash.NewWithSeed(uint64(binary.BigEndian.Uint32(ip[:])))
	_, _ = h.WriteString(caller) // a hash never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}
