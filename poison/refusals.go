package poison

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// refuseBlocked returns the refusal of a blocked request. remaining is the time
// until the end of the block.
func refuseBlocked(remaining time.Duration) *refusal.Refusal {
	return refuse("requests with this content crashed targets that ran them", remaining)
}

// refuse returns a refusal for a suspected crash, which states that the request
// was not run.
func refuse(reason string, retryAfter time.Duration) *refusal.Refusal {
	r := refusal.New(refusal.SuspectedCrash, reason)
	r.RetryAfter = retryAfter
	return r
}
