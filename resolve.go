package dogwoodroute

import (
	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/membership"
)

const (
	// sameDomainWeight multiplies the weight of instances in the caller's failure
	// domain.
	sameDomainWeight = 2.0
	// minLoadWeight and maxLoadWeight bound the factor of the weight that depends
	// on load. Loads are seconds old when callers use them, so they must not
	// dominate the choice.
	minLoadWeight = 0.5
	maxLoadWeight = 1.5
	// loadOffset is added to all loads, so that a few requests hardly change the
	// weights of idle instances.
	loadOffset = 8.0
)

// resolve returns the live instances for callers in the given failure domain. The
// weights prefer instances of that failure domain and instances with a low load.
func (i *Instance) resolve(failureDomain string) entry.Resolution {
	resolution := entry.Resolution{ValidForMillis: i.settings.ResolveValidityMillis, Instances: []entry.ResolvedInstance{}}
	usable := i.usableInstances()
	total := 0.0
	for _, peer := range usable {
		total += float64(peer.Load) + loadOffset
	}
	mean := total / float64(max(1, len(usable)))
	for _, peer := range usable {
		weight := min(max(mean/(float64(peer.Load)+loadOffset), minLoadWeight), maxLoadWeight)
		if peer.FailureDomain == failureDomain {
			weight *= sameDomainWeight
		}
		resolution.Instances = append(resolution.Instances, entry.ResolvedInstance{ID: peer.ID,
			Address: peer.CallerAddress, FailureDomain: peer.FailureDomain, Weight: weight})
	}
	return resolution
}

// usableInstances returns the live instances that are not leaving and have a
// caller address, including this one.
func (i *Instance) usableInstances() []membership.Peer {
	view := i.members.View()
	var usable []membership.Peer
	for _, peer := range view.Peers {
		if !peer.Leaving && peer.Liveness == membership.Alive && peer.CallerAddress != "" {
			usable = append(usable, peer)
		}
	}
	if !i.drain.Leaving() {
		self := view.SelfPeer
		self.Load = int(i.InFlight())
		usable = append(usable, self)
	}
	return usable
}
