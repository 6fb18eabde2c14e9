package admin

import "time"

// State is the lifecycle state of an instance.
type State string

// States of an instance.
const (
	Starting State = "starting" // has no configuration yet
	Serving  State = "serving"
	Stale    State = "stale"   // was paused; refuses new requests until its state is refreshed
	Leaving  State = "leaving" // completes the requests in flight, then exits
)

// Instance identifies an instance and describes its state.
type Instance struct {
	ID string `json:"id"`
	// Incarnation identifies this run of the process.
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
	// UptimeMillis is the time since the start, in milliseconds.
	UptimeMillis int64 `json:"uptime_ms"`
	// Time is the instance's wall clock when the status was taken.
	Time time.Time `json:"time"`
}
