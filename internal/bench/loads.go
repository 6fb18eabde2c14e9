package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// loadScenarios returns the scenarios without faults, which differ in their
// arrivals only.
func loadScenarios() []Scenario {
	return []Scenario{
		{Name: "instituto", Summary: "price survey: 15 collection and 12 series targets of 4 slots, 18 instances, 70% load",
			workload: instituto(0.7), sidePool: longRequestPool(instituto(0))},
		{Name: "calorvigia", Summary: "heat alerts: 20 dispatch and 12 history targets of 6 slots, 18 instances, 70% load",
			workload: calorvigia(0.7), sidePool: longRequestPool(calorvigia(0))},
		{Name: "crest", Summary: "heat alerts: from half of the capacity to three times the capacity and back", workload: crest,
			loadPeak: [2]time.Duration{6 * time.Second, 10 * time.Second}},
		{Name: "mixed", Summary: "price survey: short requests at 60% load beside long ones that need 10% of the slots", workload: mixed},
		{Name: "stragglers", Summary: "price survey: 3% of the short requests run 10 times longer, 70% load", workload: stragglers},
	}
}

// crest keeps the times of replay.Crest, which are not scaled: 4 s at low load,
// 2 s of rise, 4 s of peak load.
func crest(seed uint64) replay.Workload {
	w := scaleForLiveRun(replay.Crest(seed))
	w.Duration, w.Deadline = 16*time.Second, crestDeadline
	return w
}

func mixed(seed uint64) replay.Workload { return scaleForLiveRun(replay.Mixed(seed, 0.6)) }

func stragglers(seed uint64) replay.Workload {
	w := scaleForLiveRun(replay.Instituto(seed, 0.7))
	w.StragglerShare = 0.03
	return w
}
