package node

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
)

// heavyWeight is the weight of an instance with seven times the capacity of others.
const heavyWeight = 18.5

// unevenInstances returns instances of one failure domain, the first ones with seven times
// the capacity of the others.
func unevenInstances(heavy, light int) []fleet.Instance {
	list := make([]fleet.Instance, 0, heavy+light)
	for n := range heavy + light {
		i := fleet.Instance{IP: netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), Capacity: 112, Weight: 1}
		if n < heavy {
			i.Capacity, i.Weight = 784, heavyWeight
		}
		list = append(list, i)
	}
	return list
}

// Guards against callers that are spread evenly over uneven instances, so that most wait
// for the processor of a slow one, and against instances that get no callers at all.
func TestCallersFollowTheWeightOfInstances(t *testing.T) {
	is := is.New(t)
	const callers, heavy, light = 4000, 2, 59
	list := unevenInstances(heavy, light)
	load := make(map[netip.Addr]float64)
	for caller := range callers {
		chosen := chooseByWeight(list, fmt.Sprint("caller ", caller))
		is.True(len(chosen) >= minListed) // there is another one to try
		for _, i := range chosen {
			load[i.IP] += 1 / float64(len(chosen))
		}
	}
	const want = callers * heavyWeight / (heavy*heavyWeight + light)
	for _, i := range list[:heavy] {
		is.True(math.Abs(load[i.IP]-want) < 0.15*want) // a heavy instance's part of the load
	}
	for _, i := range list[heavy:] {
		is.True(load[i.IP] > 0.3*want/heavyWeight) // a light instance
	}
}

// Guards against callers that leave their open connections with each new list, and against
// a choice that changes for most callers when one instance leaves.
func TestChoiceForACallerIsStable(t *testing.T) {
	is := is.New(t)
	list := unevenInstances(2, 59)
	without := slices.Clone(list[:len(list)-1])
	changed := 0
	for caller := range 1000 {
		name := fmt.Sprint(caller)
		before := chooseByWeight(list, name)
		is.Equal(chooseByWeight(list, name), before)
		if !slices.Equal(chooseByWeight(without, name), before) {
			changed++
		}
	}
	is.True(changed < 1000/10) // one of 61 is in about one of 20 lists
}

// Guards against many callers behind one address that all use the same few instances.
func TestCallersBehindOneAddressAreSpread(t *testing.T) {
	is := is.New(t)
	r := &resolver{domains: []string{"a"}, port: 80}
	s := &fleet.Snapshot{Live: unevenInstances(2, 59)}
	named := make(map[string]bool)
	lookup := func(now time.Duration) []string {
		return r.resolve(now, s, nil, gateway.Locality{Caller: "192.0.2.1", FailureDomain: "a"}, 2*time.Second)
	}
	for n := range 200 {
		for _, address := range lookup(time.Duration(n) * 10 * time.Millisecond) {
			named[address] = true
		}
	}
	is.Equal(len(named), len(s.Live))
	first := lookup(time.Minute)
	second := lookup(time.Minute + 2*time.Second) // one caller, whose list has expired
	slices.Sort(first)
	slices.Sort(second)
	is.Equal(second, first)
}

// Guards against a caller of two hosts that counts as several callers, whose lists, and so
// whose connections, change with each lookup.
func TestOneCallerOfTwoHostsKeepsItsChoice(t *testing.T) {
	is := is.New(t)
	r := &resolver{domains: []string{"a"}, port: 80}
	s := &fleet.Snapshot{Live: unevenInstances(2, 59)}
	lookup := func(now time.Duration, host string) []string {
		list := r.resolve(now, s, nil, gateway.Locality{Caller: "192.0.2.1", Host: host, FailureDomain: "a"}, 2*time.Second)
		slices.Sort(list)
		return list
	}
	first := lookup(0, "a.example")
	is.Equal(lookup(10*time.Millisecond, "b.example"), first)
	is.Equal(lookup(2*time.Second, "a.example"), first)
	is.Equal(lookup(2010*time.Millisecond, "b.example"), first)
}

// Guards against instances of equal capacity that are left out of lists.
func TestEqualInstancesAreAllListed(t *testing.T) {
	is := is.New(t)
	is.Equal(len(chooseByWeight(unevenInstances(0, 59), "c")), 59)
	is.Equal(len(chooseByWeight(unevenInstances(3, 0), "c")), 3)
}
