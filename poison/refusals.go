package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// refuseBlocked refuses a refuseBlocked request until the end of the block.
func refuseBlocked(remaining time.Duration) *refusal.Refusal {
	return refuse("requests with this content crashed targets that ran them", remaining)
}

// refuse returns a refusal of a request that is not run.
func refuse(reason string, retryAfter time.Duration) *refusal.Refusal {
	r := refusal.New(refusal.SuspectedCrash, reason)
	r.RetryAfter = retryAfter
	return r
}
