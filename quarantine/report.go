package quarantine

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/poison"
)

// FailureReport is what one run of a request tells about it.
type FailureReport struct {
	// Request identifies requests with the same caller and content.
	Request poison.Fingerprint
	// Target is a hash of the incarnation of the target that ran the request.
	Target uint64
	// At is when the run ended, on the clock of this process.
	At time.Duration
	// Completed is true when the target completed the request, which voids all
	// earlier strikes. Otherwise the target was down afterwards.
	Completed bool
}
