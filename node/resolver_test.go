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
