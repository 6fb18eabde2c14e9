package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// Scenario describes a fleet, its load and its faults.
type Scenario struct {
	Name, Summary string
	// workload returns the workload of the main pool. Only this pool is replayed.
	workload func(seed uint64) replay.Workload
	// sidePool returns the workload of a second pool. Nil: no second pool.
	sidePool func(seed uint64) replay.Workload
	// steps returns the faults and other changes during the run. Nil: none.
	steps func(w *replay.Workload) []harness.Step
	// adjustFleet, if not nil, changes the options of the fleet.
	adjustFleet func(*testbed.Options)
	// loadPeak is the start and end of the period in which goodput is measured,
	// since the start of the arrivals. Zero: goodput is not measured.
	loadPeak [2]time.Duration
	// note says what the replay does not simulate.
	note string
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return append(loadScenarios(), faultScenarios()...)
}

// Find returns the scenario with a name, and false if there is none.
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

// longRequestPool returns the workload of a side pool: 12 targets that run long
// requests only, and are otherwise like those of the given workload.
func longRequestPool(of func(uint64) replay.Workload) func(uint64) replay.Workload {
	return func(seed uint64) replay.Workload {
		w := of(seed + 1)
		w.Targets, w.Load, w.LongShare, w.LongService = 12, replay.Constant(0), 0.5, time.Second
		return w
	}
}
