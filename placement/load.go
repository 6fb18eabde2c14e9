package placement

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Load is what a target says of itself.
type Load struct {
	// Running, Waiting and Slots count requests.
	Running, Waiting, Slots int
	// Slowness is the time that work takes on its machine now, as a multiple of
	// the usual time.
	Slowness float64
}

// Report is the answer of one target that was asked for its load.
type Report struct {
	Target *catalog.Target
	Load   Load
	// At is when the answer arrived.
	At time.Duration
}
