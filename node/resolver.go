package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

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
	port    uint16
}

// resolve returns the addresses of live instances in random order. It returns only
// instances of the caller's failure domain if there are at least minLocalInstances of
// them.
func (r *resolver) resolve(s *fleet.Snapshot, o gateway.Locality) []string {
	domain := slices.Index(r.domains, o.FailureDomain)
	var local, all []string
	for _, i := range s.Live {
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
