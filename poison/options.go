package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
)

// Options configure the state of an instance. All instances of a fleet use the
// same values. The zero value stands for the defaults.
type Options struct {
	// Suspicion is the time for which a suspect runs only as a trial. Default 60 s.
	Suspicion time.Duration
	// BlockTime is the time for which a blocked request is refused. For the
	// same time after that it runs only as a trial. Default 10 min.
	BlockTime time.Duration
	// BreakWindow is the largest time between two broken connections of one
	// crash. Default 100 ms.
	BreakWindow time.Duration
	// RefusedWindow is the largest time from a broken connection to a refused
	// one that confirms the crash. Default 2 s.
	RefusedWindow time.Duration
	// Lease is the time for which a trial keeps other trials out. A trial must
	// end within it. Default 30 s.
	Lease time.Duration
	// LeaseMargin is the part of the lease that the holder leaves unused.
	// Default 1 s.
	LeaseMargin time.Duration
	// ViewSkew is the largest time by which two instances learn of a change of
	// the fleet one after the other. Default 5 s.
	ViewSkew time.Duration
	// MaxTrialRetryDelay is the largest time after which a suspect that cannot have its
	// trial now should be sent again. Default 500 ms.
	MaxTrialRetryDelay time.Duration
	// MaxRecords bounds the records of suspicions, blocks and clearings.
	// Default 4096.
	MaxRecords int
	// MaxLeases bounds the leases that one instance grants. Default 4096.
	MaxLeases int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Suspicion, time.Minute)
	defaults.Positive(&o.BlockTime, 10*time.Minute)
	defaults.Positive(&o.BreakWindow, 100*time.Millisecond)
	defaults.Positive(&o.RefusedWindow, 2*time.Second)
	defaults.Positive(&o.Lease, 30*time.Second)
	defaults.Positive(&o.LeaseMargin, time.Second)
	defaults.Positive(&o.ViewSkew, 5*time.Second)
	defaults.Positive(&o.MaxTrialRetryDelay, 500*time.Millisecond)
	defaults.Positive(&o.MaxRecords, 4096)
	defaults.Positive(&o.MaxLeases, 4096)
	return o
}
