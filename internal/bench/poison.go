package bench

import (
	"fmt"
	"time"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

const (
	// crashInterval is the pause between the requests that crash targets.
	crashInterval = 200 * time.Millisecond
	// maxCrashRequests limits the number of those requests.
	maxCrashRequests = 30
	// crashDeadline is short because a request that waits for a trial delays the
	// next one.
	crashDeadline = 500 * time.Millisecond
)

// crashRequests repeatedly sends a request that crashes targets, through all
// instances.
func crashRequests(w *replay.Workload) []harness.Step {
	return []harness.Step{{At: 0.25, Text: "a caller begins to send a request that crashes targets",
		Do: func(r *harness.Run) error {
			r.Background(func() error {
				client := caller.New(caller.Options{Seeds: r.Fleet.Addresses()})
				defer client.Close()
				for n := range maxCrashRequests {
					if r.Context().Err() != nil {
						return nil
					}
					r.SendCrashingRequest(r.Context(), client, w.Name, fmt.Sprintf("crash-%d", n), crashDeadline)
					time.Sleep(crashInterval)
				}
				return nil
			})
			return nil
		}}}
}
