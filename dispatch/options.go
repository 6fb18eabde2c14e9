package dispatch

import (
	"math/rand/v2"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Options configure a Scheduler.
type Options struct {
	// Pool is the initial configuration of the pool.
	Pool tables.Pool
	// Rand is the source of all random choices. Required.
	Rand *rand.Rand
	// FailureDomain is the failure domain of this instance. Default: none.
	FailureDomain string
	// Fleet is the initial view of the fleet. Default: unknown.
	Fleet Fleet
	// QueueLimit bounds the requests that wait for their first attempt. Default
	// admission.DefaultQueueLimit.
	QueueLimit int
}
