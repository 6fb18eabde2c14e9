package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
)

const (
	// leaveNotice is the time in which all instances learn that one stops, and a list that
	// contains it reaches its caller.
	leaveNotice = 500 * time.Millisecond
	// minResolveValidity is the least validity of a list, but for the platform's bound.
	minResolveValidity = 1500 * time.Millisecond
	// minLocalInstances is the number of live instances in the caller's failure domain
	// from which the list contains only these. Traffic within a domain is faster, and
	// bytes between domains cost more.
	minLocalInstances = 2
)

// resolveValidity returns how long callers may use a list of instances: as long as an
// instance that stops accepts connections after the others know that it does, so that most
// of the lists that contain it have expired then. Each lookup costs a caller two round
// trips before its request, so it is not shorter than minResolveValidity.
func (s *Settings) resolveValidity() time.Duration {
	return min(max(minResolveValidity, s.acceptTime()-leaveNotice), s.Bounds.ResolveValidity)
}

// resolver selects the instances that callers use.
type resolver struct {
	domains []string
	port    uint16
	lookups callerLookups
}

// resolve returns the addresses of live instances in random order, for a list that is valid
// for the given time. It returns only instances of the caller's failure domain if there are
// at least minLocalInstances of them, and of these some by their weight if they differ. One
// caller gets the same choice each time; callers behind one address get different ones.
func (r *resolver) resolve(now time.Duration, s *fleet.Snapshot, o gateway.Locality, validity time.Duration) []string {
	caller := o.Caller
	if r.lookups.isShared(now, callerLookup{o.Caller, o.Host}, validity) {
		caller = strconv.FormatUint(rand.Uint64(), 16)
	}
	domain := slices.Index(r.domains, o.FailureDomain)
	candidates := s.Live
	local := slices.DeleteFunc(slices.Clone(s.Live), func(i fleet.Instance) bool { return i.Domain != domain })
	if len(local) >= minLocalInstances {
		candidates = local
	}
	chosen := chooseByWeight(candidates, caller)
	all := make([]string, 0, len(chosen))
	for _, i := range chosen {
		all = append(all, netip.AddrPortFrom(i.IP, r.port).String())
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
