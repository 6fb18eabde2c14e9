package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Snapshot is a copy of the observable state of a Scheduler.
type Snapshot struct {
	Counters Counters
	// Waiting is the number of requests that wait for their first attempt, by
	// priority from high to low.
	Waiting [admission.Ranks]int
	// WaitingRetries is the number of requests that wait for a retry.
	WaitingRetries int
	// Window is the bound on attempts in flight.
	Window float64
	// InFlight is the number of attempts in flight, and LongInFlight is the number
	// of those of class long.
	InFlight, LongInFlight int
	// ProbesInFlight is the number of probes in flight.
	ProbesInFlight int
	// Stale is true while new requests are refused because of a pause.
	Stale bool
	// Targets and ProbeStats come from the balancer.
	Targets    []balancer.TargetStatus
	ProbeStats balancer.ProbeStats
}

// Snapshot returns a copy of the current state. It handles no event and only
// advances the balancer's time to now.
func (s *Scheduler) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{Counters: s.counters, WaitingRetries: s.retries.Len(),
		Window: s.admission.Window.Limit(), InFlight: s.admission.Window.InFlight(), LongInFlight: s.longInFlight,
		ProbesInFlight: s.probesInFlight, Stale: s.stale, Targets: s.balancer.Status(now), ProbeStats: s.balancer.ProbeStats()}
	for rank := range snapshot.Waiting {
		snapshot.Waiting[rank] = s.admission.Queue.LenOf(rank)
	}
	return snapshot
}
