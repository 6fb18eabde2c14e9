package fleet

import "net/netip"

// Snapshot is the membership of the fleet as this instance sees it. It is immutable.
type Snapshot struct {
	// Live are the instances that callers can use: ready, not leaving and believed to
	// run. It includes this one while it is ready. The order is arbitrary.
	Live []Instance
	// Size is the number of instances that may be running, this one included, by which
	// fleet-wide budgets are divided. An instance that falls silent counts for a while.
	Size int
	// Isolated is true while this instance has no contact with any of the others that may
	// be running, so that it does not learn what they find.
	Isolated bool
}

// Instance is one live instance. Domain is the index of its failure domain.
type Instance struct {
	IP     netip.Addr
	Domain int
}
