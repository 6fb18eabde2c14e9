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
