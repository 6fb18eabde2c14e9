package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// faultyTarget is the index of the target that slows down or fails.
const faultyTarget = 3

// Cold targets run requests coldFactor times longer at first. The factor falls to
// 1 over coldDuration.
const (
	coldDuration = 6 * time.Second
	coldFactor   = 4
)

// resolveValidity is how long callers keep a resolve response, and so how long
// leaving instances keep serving.
const resolveValidity = time.Second

// faultScenarios returns the scenarios with faults. They use the workload
// Instituto at 70% load or less.
func faultScenarios() []Scenario {
	shortValidity := func(o *testbed.Options) { o.ResolveValidity = resolveValidity }
	return []Scenario{
		{Name: "slowdown", Summary: "one target becomes 10 times slower for a quarter of the run", workload: instituto(0.7), steps: slowdown},
		{Name: "failfast", Summary: "one target answers 500 at once for a quarter of the run", workload: instituto(0.7), steps: failFast},
		{Name: "coldstart", Summary: "all targets are cold at the start, 40% load", workload: instituto(0.4), adjustFleet: coldTargets,
			note: "the replay has no cold targets"},
		{Name: "poison", Summary: "a request that crashes each target that runs it is resent without end", workload: instituto(0.6), steps: crashRequests,
			note: "the replay has no crashes"},
		{Name: "partition", Summary: "half of the instances cannot reach the others for a third of the run", workload: instituto(0.7), steps: partition,
			note: "the replay has no partition"},
		{Name: "configdown", Summary: "the configuration service is down while an instance is replaced", workload: instituto(0.6), steps: configurationServiceDown,
			adjustFleet: shortValidity, note: "the replay's instances all stay"},
		{Name: "restart", Summary: "two instances stop as planned, one crashes, all are replaced", workload: instituto(0.6), steps: restartInstances,
			adjustFleet: shortValidity, note: "the replay's instances all stay"},
		{Name: "drain", Summary: "two targets drain by the tables, two by themselves", workload: instituto(0.5), steps: drainTargets},
	}
}

func slowdown(*replay.Workload) []harness.Step {
	slow := func(factor float64) func(*harness.Run) error {
		return func(r *harness.Run) error {
			r.Fleet.Targets()[faultyTarget].SetSlowdown(factor)
			return nil
		}
	}
	return []harness.Step{
		{At: 0.35, Text: "one target becomes 10 times slower", Do: slow(10),
			Fault: &replay.Fault{Target: faultyTarget, Kind: replay.FaultSlow, Factor: 10}},
		{At: 0.6, Text: "the target is back to normal", Do: slow(1), Fault: &replay.Fault{Target: faultyTarget, Kind: replay.FaultNone}},
	}
}

func failFast(*replay.Workload) []harness.Step {
	fail := func(on bool) func(*harness.Run) error {
		return func(r *harness.Run) error {
			r.Fleet.Targets()[faultyTarget].SetFailing(on)
			return nil
		}
	}
	return []harness.Step{
		{At: 0.35, Text: "one target answers 500 at once", Do: fail(true),
			Fault: &replay.Fault{Target: faultyTarget, Kind: replay.FaultError}},
		{At: 0.6, Text: "the target is back to normal", Do: fail(false), Fault: &replay.Fault{Target: faultyTarget, Kind: replay.FaultNone}},
	}
}

func coldTargets(o *testbed.Options) {
	for i := range o.Pools {
		o.Pools[i].Target.ColdFor, o.Pools[i].Target.ColdFactor = coldDuration, coldFactor
	}
}

func partition(*replay.Workload) []harness.Step {
	setGroups := func(group func(int) int) func(*harness.Run) error {
		return func(r *harness.Run) error {
			r.Fleet.Partition(group)
			return nil
		}
	}
	return []harness.Step{
		{At: 0.3, Text: "instances with even and odd numbers cannot reach each other", Do: setGroups(func(index int) int { return index % 2 })},
		{At: 0.32, Text: "an operator publishes a new version", Do: publish},
		{At: 0.63, Text: "all instances reach each other again", Do: setGroups(nil)},
	}
}

// drainTargets drains four targets one after the other, in turn by the tables
// and by their own announcement.
func drainTargets(*replay.Workload) []harness.Step {
	var steps []harness.Step
	for n := range 4 {
		step := harness.Step{At: 0.15 + 0.1*float64(n), Text: "a target announces that it is draining",
			Fault: &replay.Fault{Target: n, Kind: replay.FaultDrain},
			Do:    func(r *harness.Run) error { r.AnnounceDraining(r.Fleet.Targets()[n]); return nil }}
		if n%2 == 0 {
			step.Text = "a target is marked as draining in the tables"
			step.Do = func(r *harness.Run) error { r.DrainInTables(r.Fleet.Targets()[n]); return nil }
		}
		steps = append(steps, step)
	}
	return steps
}
