package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
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
	// minLocalShare is the share of the instances of the caller's failure domain that must
	// reach targets so that the list contains only these. Fewer would get too many callers.
	minLocalShare = 0.5
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
	regions map[string]string // by failure domain
	port    uint16
	lookups callerLookups
}

// resolve returns the addresses of live instances in random order, for a list that is valid
// for the given time. It returns only instances of the caller's failure domain if there are
// at least minLocalInstances of them, and of these some by their weight if they differ. One
// caller gets the same choice each time; callers behind one address get different ones.
// Instances that reach no target are left out unless there are no others. For
// a host with homes, it returns only instances in one of these or in the caller's region;
// none if there are none. routes is nil before the first configuration.
func (r *resolver) resolve(now time.Duration, s *fleet.Snapshot, routes *catalog.Matcher, o gateway.Locality, validity time.Duration) []string {
	caller := o.Caller
	if r.lookups.isShared(now, callerLookup{o.Caller, o.Host}, validity) {
		caller = strconv.FormatUint(rand.Uint64(), 16)
	}
	domain := slices.Index(r.domains, o.FailureDomain)
	candidates := r.permitted(s.Live, routes, o)
	isLocal := func(i fleet.Instance) bool { return i.Domain == domain }
	locals := countInstances(candidates, isLocal)
	candidates = reachingTargets(candidates)
	if n := countInstances(candidates, isLocal); n >= minLocalInstances && float64(n) >= minLocalShare*float64(locals) {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(i fleet.Instance) bool { return !isLocal(i) })
	}
	chosen := chooseByWeight(candidates, caller)
	all := make([]string, 0, len(chosen))
	for _, i := range chosen {
		all = append(all, netip.AddrPortFrom(i.IP, r.port).String())
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func countInstances(list []fleet.Instance, match func(fleet.Instance) bool) int {
	n := 0
	for _, i := range list {
		if match(i) {
			n++
		}
	}
	return n
}

// reachingTargets returns the instances that reach targets, or all if none does.
func reachingTargets(list []fleet.Instance) []fleet.Instance {
	cutOff := func(i fleet.Instance) bool { return i.CutOff }
	if n := countInstances(list, cutOff); n == 0 || n == len(list) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), cutOff)
}

// regionOf returns the region of an instance, or "" if it is unknown.
func (r *resolver) regionOf(i fleet.Instance) string {
	if i.Domain < 0 || i.Domain >= len(r.domains) {
		return ""
	}
	return r.regions[r.domains[i.Domain]]
}

// permitted returns the instances that may handle the requests of a host: all, or those in
// its homes or in the caller's region.
func (r *resolver) permitted(live []fleet.Instance, routes *catalog.Matcher, o gateway.Locality) []fleet.Instance {
	if routes == nil {
		return live
	}
	homes, limited := routes.Homes(o.Host)
	if !limited {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(i fleet.Instance) bool {
		region := r.regionOf(i)
		return region != o.Region && !slices.Contains(homes, region)
	})
}
