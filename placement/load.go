package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Load is the load that a target reports of itself.
type Load struct {
	// Running and Waiting count the requests that the target runs and queues; Slots
	// is the number that it can run at a time.
	Running, Waiting, Slots int
	// Slowness is the time that work takes on the target's machine now, as a
	// multiple of the usual time.
	Slowness float64
}

// Report is a load report of a target.
type Report struct {
	Target *catalog.Target
	Load   Load
	// At is when the report arrived.
	At time.Duration
}
