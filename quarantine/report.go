package quarantine

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/poison"
)

// FailureReport says that a target was down after it ran a request, or that a
// target completed the request.
type FailureReport struct {
	// Request is the fingerprint of the request's content.
	Request poison.Fingerprint
	// Resource is the fingerprint of the resource that it is about, as in Identity.
	Resource poison.Fingerprint
	// Target is a hash of the incarnation of the target that ran the request.
	Target uint64
	// At is when the run ended, on the clock of this process.
	At time.Duration
	// AfterFailure is true if another target was known to have failed under the request when
	// the run began. Targets that fail under runs of which none was AfterFailure may have
	// been lost together, for another cause than the request.
	AfterFailure bool
	// Completed is true when the target completed the request, which cancels all
	// earlier failures of the request. Otherwise the target was down afterwards.
	Completed bool
}

// Identity returns what identifies the request.
func (r *FailureReport) Identity() Identity {
	return Identity{Content: r.Request, Resource: r.Resource}
}
