package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// Snapshot is a copy of a scheduler's observable state.
type Snapshot struct {
	Counters Counters
	// Waiting is the number of requests that wait for their first send, by
	// priority from high to low.
	Waiting [admission.Ranks]int
	// WaitingRetries is the number of requests that wait to be sent again.
	WaitingRetries int
	// Window is the bound on attempts in flight.
	Window float64
	// InFlight and LongInFlight count attempts.
	InFlight, LongInFlight int
	// ProbesInFlight counts probes.
	ProbesInFlight int
	// Stale says that new work is refused because of a pause.
	Stale bool
	// Targets and Spend come from the balancer.
	Targets []balancer.TargetStatus
	ProbeStats   balancer.ProbeStats
}

// Snapshot returns the present state. It is no event and changes nothing.
func (s *Scheduler) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{Counters: s.counters, WaitingRetries: s.retries.Len(),
		Window: s.admission.Window.Limit(), InFlight: s.admission.Window.InFlight(), LongInFlight: s.long,
		ProbesInFlight: s.probes, Stale: s.stale, Targets: s.balancer.Status(now), ProbeStats: s.balancer.ProbeStats()}
	for rank := range snapshot.Waiting {
		snapshot.Waiting[rank] = s.admission.Queue.LenOf(rank)
	}
	return snapshot
}
