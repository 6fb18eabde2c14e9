package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// Scenario is a fleet, its load and what happens to it.
type Scenario struct {
	Name, Summary string
	// workload returns the arrivals of the main pool, which is the one that is
	// compared with the replay.
	workload func(seed uint64) replay.Workload
	// sidePool returns the arrivals of a second pool. Nil: none.
	sidePool func(seed uint64) replay.Workload
	steps    func(w *replay.Workload) []harness.Step
	// adjustFleet changes the fleet before it starts. Nil: as it is.
	adjustFleet func(*testbed.Options)
	// loadPeak bounds the time in which useful work is measured, since the first
	// arrival. Zero: none. Runs that end before have no such figure.
	loadPeak [2]time.Duration
	// note says what the replay leaves out.
	note string
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return append(loadScenarios(), faultScenarios()...)
}

// Find returns the scenario with a name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func instituto(load float64) func(uint64) replay.Workload {
	return func(seed uint64) replay.Workload { return scaleForLiveRun(replay.Instituto(seed, load)) }
}

func calorvigia(load float64) func(uint64) replay.Workload {
	return func(seed uint64) replay.Workload { return scaleForLiveRun(replay.Calorvigia(seed, load)) }
}

// longRequestPool returns a pool of 12 targets that only runs longRequestPool requests, beside the
// main pool of the same user.
func longRequestPool(of func(uint64) replay.Workload) func(uint64) replay.Workload {
	return func(seed uint64) replay.Workload {
		w := of(seed + 1)
		w.Targets, w.Load, w.LongShare, w.LongService = 12, replay.Constant(0), 0.5, time.Second
		return w
	}
}
