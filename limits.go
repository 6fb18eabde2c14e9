package dogwoodroute

import "github.com/dogwoodroute/dogwoodroute/tables"

// connectionLimits maps target addresses to the number of connections that the
// target accepts from the whole fleet. It is immutable.
type connectionLimits map[string]int

// newConnectionLimits returns the limits of all targets of a document. If pools
// share an address, the lowest limit applies.
func newConnectionLimits(d *tables.Document) *connectionLimits {
	limits := make(connectionLimits)
	for _, pool := range d.Pools {
		for _, target := range pool.Targets {
			if n, ok := limits[target.Address]; !ok || target.Connections < n {
				limits[target.Address] = target.Connections
			}
		}
	}
	return &limits
}

// connectionLimit returns this instance's share of a target's connections, at
// least 1. Half of the connections are kept for instances that are not known yet.
func (i *Instance) connectionLimit(address string) int {
	connections := (*i.limits.Load())[address]
	return max(1, connections/(2*max(1, i.members.View().Instances)))
}
