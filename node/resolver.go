package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
)

const (
	// maxResolveValidity bounds how long callers use a list of instances. An instance
	// that stops continues to serve until the lists that contain it have expired.
	maxResolveValidity = 1500 * time.Millisecond
	// minLocalInstances is the number of live instances in the caller's failure domain
	// from which the list contains only these. Traffic within a domain is faster, and
	// bytes between domains cost more.
	minLocalInstances = 2
)

// resolveValidity returns how long callers may use a list of instances.
func (s *Settings) resolveValidity() time.Duration {
	return min(maxResolveValidity, s.Bounds.ResolveValidity)
}

// resolver selects the instances that callers use.
type resolver struct {
	domains []string
	regions map[string]string // by failure domain
	port    uint16
}

// resolve returns the addresses of live instances in random order. It returns only
// instances of the caller's failure domain if there are at least minLocalInstances of
// them. For a host with homes, it returns only instances in one of these or in the caller's
// region; none if there are none. routes is nil before the first configuration.
func (r *resolver) resolve(s *fleet.Snapshot, routes *catalog.Matcher, o gateway.Locality) []string {
	var homes []string
	limited := false
	if routes != nil {
		homes, limited = routes.Homes(o.Host)
	}
	domain := slices.Index(r.domains, o.FailureDomain)
	var local, all []string
	for _, i := range s.Live {
		if region := r.regionOf(i); limited && region != o.Region && !slices.Contains(homes, region) {
			continue
		}
		address := netip.AddrPortFrom(i.IP, r.port).String()
		all = append(all, address)
		if i.Domain == domain {
			local = append(local, address)
		}
	}
	if len(local) >= minLocalInstances {
		all = local
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// regionOf returns the region of an instance, or "" if it is unknown.
func (r *resolver) regionOf(i fleet.Instance) string {
	if i.Domain < 0 || i.Domain >= len(r.domains) {
		return ""
	}
	return r.regions[r.domains[i.Domain]]
}
