package fleet

import "net/netip"

// Snapshot is the state of the fleet as this instance sees it. It is immutable.
type Snapshot struct {
	// Live are the instances that may be named to callers, by failure domain
	// index, this one included while it is ready.
	Live []Instance
	// Size is the number of instances that may be alive, for shares of fleet-wide
	// budgets. It falls only slowly.
	Size int
}

// Instance is one live instance.
type Instance struct {
	IP     netip.Addr
	Domain int
}
