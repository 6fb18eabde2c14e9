package replay

import "time"

// Instituto is the collection pool of a price survey: 15 targets of 4 slots and
// 18 instances in 4 failure domains, 1.5 ms apart.
func Instituto(seed uint64, load float64) Workload {
	return Workload{Name: "instituto", Seed: seed, Targets: 15, Slots: 4, Instances: 18,
		Domains:    []string{"poa-a", "poa-b", "caxias", "pelotas"},
		LocalDelay: 100 * time.Microsecond, RemoteDelay: 1500 * time.Microsecond,
		Queue: 64, Duration: 20 * time.Second, Load: Constant(load), MeanService: 10 * time.Millisecond,
		StragglerShare: 0.01, StragglerFactor: 10, HighShare: 0.2, Deadline: 2 * time.Second}
}

// Calorvigia is the dispatch pool of a heat-alert service: 20 targets of 6 slots
// and 18 instances in 3 failure domains, 0.5 ms apart.
func Calorvigia(seed uint64, load float64) Workload {
	w := Instituto(seed, load)
	w.Name, w.Targets, w.Slots = "calorvigia", 20, 6
	w.Domains = []string{"oviedo", "santander", "pamplona"}
	w.RemoteDelay = 500 * time.Microsecond
	return w
}

// Crest is a load peak: after 4 s the load rises from half of the capacity to
// three times the capacity within 2 s, stays for 4 s, and drops back at once.
func Crest(seed uint64) Workload {
	w := Calorvigia(seed, 0)
	w.Name, w.Duration, w.Queue, w.Deadline = "crest", 16*time.Second, 8, time.Second
	w.Load = func(at time.Duration) float64 {
		const low, high = 0.5, 3.0
		switch s := at.Seconds(); {
		case s < 4:
			return low
		case s < 6:
			return low + (high-low)*(s-4)/2
		case s < 10:
			return high
		default:
			return low
		}
	}
	return w
}

// Mixed adds long requests that need a tenth of the slots to short requests.
func Mixed(seed uint64, load float64) Workload {
	w := Instituto(seed, load)
	w.Name, w.LongShare, w.LongService = "mixed", 0.1, 500*time.Millisecond
	return w
}

// HalfFailing makes half of the targets fail all requests immediately from 5 s to
// 15 s, at a load that the others can serve.
func HalfFailing(seed uint64) Workload {
	w := Instituto(seed, 0.35)
	w.Name = "halffailing"
	for target := 0; target < w.Targets; target += 2 {
		w.Faults = append(w.Faults, Fault{At: 5_000_000, Target: target, Kind: FaultError},
			Fault{At: 15_000_000, Target: target, Kind: FaultNone})
	}
	return w
}

// FailFast makes one target fail all requests immediately from 5 s to 10 s.
func FailFast(seed uint64) Workload {
	w := Instituto(seed, 0.7)
	w.Name, w.Faults = "failfast", []Fault{{At: 5_000_000, Target: 3, Kind: FaultError}, {At: 10_000_000, Target: 3, Kind: FaultNone}}
	return w
}

// Slowdown makes one target ten times slower from 5 s to 10 s. The deadline is
// ten times the mean service time, so that an average request is late there.
func Slowdown(seed uint64) Workload {
	w := Instituto(seed, 0.7)
	w.Deadline = 10 * w.MeanService
	w.Name, w.Faults = "slowdown", []Fault{{At: 5_000_000, Target: 3, Kind: FaultSlow, Factor: 10}, {At: 10_000_000, Target: 3, Kind: FaultNone}}
	return w
}

// Workloads returns all workloads that can be selected by name, with a seed.
func Workloads(seed uint64) []Workload {
	named := func(w Workload, name string) Workload {
		w.Name = name
		return w
	}
	return []Workload{
		named(Instituto(seed, 0.7), "instituto-70"), named(Instituto(seed, 0.85), "instituto-85"),
		named(Calorvigia(seed, 0.7), "calorvigia-70"), named(Calorvigia(seed, 0.85), "calorvigia-85"),
		Mixed(seed, 0.6), Crest(seed), FailFast(seed), Slowdown(seed), HalfFailing(seed),
	}
}
