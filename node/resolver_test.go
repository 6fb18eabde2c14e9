package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
)

// Guards against lists that name an instance for longer than it accepts connections in a
// stop, and against a lookup before each request where the stop is short.
func TestValidityOfLists(t *testing.T) {
	is := is.New(t)
	validity := func(stop, bound time.Duration) time.Duration {
		s := &Settings{Bounds: Bounds{ShutdownTimeout: stop, ResolveValidity: bound}}
		return s.resolveValidity()
	}
	is.Equal(validity(6*time.Second, 5*time.Second), 2150*time.Millisecond)
	is.Equal(validity(30*time.Second, 5*time.Second), 5*time.Second)
	is.Equal(validity(time.Second, 5*time.Second), minResolveValidity)
	is.Equal(validity(6*time.Second, time.Second), time.Second)
}

// Guards against lists that name instances without a path to targets while there are others, that
// leave callers without any, and that send all callers of a failure domain to the few of it that
// still reach targets.
func TestResolveLeavesOutInstancesThatAreCutOff(t *testing.T) {
	const local = 8
	for _, c := range []struct{ cutOff, listed int }{{0, local}, {1, local - 1}, {4, local - 4}, {5, 2*local - 5}, {local, local}, {2 * local, local}} {
		is := is.New(t)
		r := &resolver{domains: []string{"a", "b"}, port: 80}
		s := &fleet.Snapshot{}
		for n := range 2 * local {
			s.Live = append(s.Live, fleet.Instance{IP: netip.AddrFrom4([4]byte{10, 0, byte(n / local), byte(n)}), Domain: n / local, CutOff: n < c.cutOff})
		}
		is.Equal(len(r.resolve(0, s, nil, gateway.Locality{FailureDomain: "a"}, time.Second)), c.listed) // c
	}
}

// Guards against sending callers to other failure domains while their own has enough
// instances, and against leaving out the other domains when it has not.
func TestResolveNamesTheNearestInstances(t *testing.T) {
	is := is.New(t)
	r := &resolver{domains: []string{"a", "b"}, port: 80}
	ip := netip.MustParseAddr
	s := &fleet.Snapshot{Live: []fleet.Instance{{IP: ip("10.0.0.1"), Domain: 0}, {IP: ip("10.0.0.2"), Domain: 0}, {IP: ip("10.0.1.1"), Domain: 1}}}
	resolve := func(domain string) []string {
		list := r.resolve(0, s, nil, gateway.Locality{FailureDomain: domain}, time.Second)
		slices.Sort(list)
		return list
	}
	all := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.1.1:80"}
	is.Equal(resolve("a"), all[:2])
	is.Equal(resolve("b"), all) // one local instance is too few
	is.Equal(resolve("unknown"), all)
}
