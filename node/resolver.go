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
	// resolveValidity is how long callers keep an answer. An instance that stops
	// serves until the answers that name it are over.
	resolveValidity = 1500 * time.Millisecond
	// minLocalInstances is the number of instances in the caller's failure domain from
	// which others are not named: answers that stay in the domain are faster and
	// cost no bytes between domains.
	minLocalInstances = 2
)

// resolver tells callers which instances to use.
type resolver struct {
	domains  []string
	port     uint16
	validity time.Duration
}

// resolve returns the addresses of live instances, those of the caller's
// failure domain if there are enough.
func (r *resolver) resolve(s *fleet.Snapshot, o gateway.Locality) ([]string, time.Duration) {
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
	return all, r.validity
}
