package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
)

// Options configures a Detector and a Coordinator. All instances of a fleet must
// use the same values. The zero value of a field selects its default.
type Options struct {
	// Suspicion is the time for which a suspect runs only as a trial. Default 60 s.
	Suspicion time.Duration
	// BlockTime is the time for which a blocked request is refused. For the
	// same time after the block, it runs only as a trial. Default 10 min.
	BlockTime time.Duration
	// BreakWindow is the maximum time between two broken connections to a target
	// that count as one crash. Default 100 ms.
	BreakWindow time.Duration
	// RefusedWindow is the maximum time between a broken connection and a
	// refused one that confirms the crash. Default 2 s.
	RefusedWindow time.Duration
	// Lease is the duration of a lease, which prevents other trials. A trial must
	// end within it. Default 30 s.
	Lease time.Duration
	// LeaseMargin is the time at the end of a lease that the holder does not use
	// for its trial. Default 1 s.
	LeaseMargin time.Duration
	// ViewSkew is the maximum time between the moments at which two instances
	// learn of the same membership change. Default 5 s.
	ViewSkew time.Duration
	// MaxTrialRetryDelay is the maximum RetryAfter in the refusal of a suspect
	// whose trial cannot run now. Default 500 ms.
	MaxTrialRetryDelay time.Duration
	// MaxRecords bounds the number of records of suspicions, blocks and
	// clearings. Default 4096.
	MaxRecords int
	// MaxLeases bounds the number of leases granted by one instance. Default 4096.
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
