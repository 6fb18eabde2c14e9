package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// RetryBudget bounds repeats over all instances.
type RetryBudget struct {
	// Ratio is the part of a service's requests that may be sent once more.
	Ratio float64
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Allowance is the number of repeats in a window besides.
	Allowance float64
	// NewFleet is true when no instance of the fleet ran before this one started.
	NewFleet bool
}

// Options configure a Gateway. All fields without a default are required.
type Options struct {
	Dialect Dialect
	// FailureDomain is this instance's.
	FailureDomain string
	// View returns the present view, never nil.
	View func() *catalog.View
	// Instances returns the number of instances that may be alive.
	Instances func() int
	// RetryBudget bounds repeats and hedges.
	RetryBudget RetryBudget
	// ProbesPerTarget bounds the probes that a target gets a second from all
	// instances. 0: no bound.
	ProbesPerTarget float64
	// BodyBytes bounds the bodies that are held in memory at a time.
	BodyBytes int64
	// LocalReportWait and RemoteReportWait bound how long a choice waits for load reports
	// of targets of the own failure domain and of the others. Defaults 6 and 12 ms.
	LocalReportWait, RemoteReportWait time.Duration
	// ConfigWait is how long a request waits for the first configuration after the
	// start before it is refused. Default 250 ms.
	ConfigWait time.Duration
	Log        *slog.Logger
	Metrics    Metrics
	Random     *rand.Rand
	// OnFailureReport is called with what the run of a request shows, for the other
	// instances. It must not block.
	OnFailureReport func(quarantine.FailureReport)
	// Now returns the time since the start of the process.
	Now func() time.Duration
}

// Metrics receives counts and times. Implementations are safe for concurrent use.
type Metrics interface {
	// Request counts a finished request of a route and its time.
	Request(route string, took time.Duration)
	// Refusal counts a request that ended without a target's success.
	Refusal(outcome string)
	// Attempt counts an attempt by its outcome.
	Attempt(outcome string)
}
