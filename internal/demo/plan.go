package demo

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// Size and settings of the fleet.
const (
	pool           = "survey"
	targetCount    = 8
	slotsPerTarget = 4
	instanceCount  = 4
	// resolveValidity is the time for which callers use a resolve response, and thus
	// for which a leaving instance must keep serving.
	resolveValidity = time.Second
)

// closedReason is the operator's reason for closing the history route.
const closedReason = "history is closed while the index is computed"

// workload returns a workload that needs about half of the slots, so that enough
// capacity remains when targets drain or fail.
func workload(o *Options) replay.Workload {
	return replay.Workload{Name: pool, Seed: o.Seed, Targets: targetCount, Slots: slotsPerTarget, Instances: instanceCount,
		Domains: []string{"north", "south"}, LocalDelay: 100 * time.Microsecond, RemoteDelay: 100 * time.Microsecond,
		Queue: 16, Duration: o.Duration, Load: replay.Constant(0.4), MeanService: 30 * time.Millisecond,
		StragglerShare: 0.01, StragglerFactor: 10, LongShare: 0.08, LongService: 300 * time.Millisecond,
		HighShare: 0.3, Deadline: 2 * time.Second}
}

func plan(o *Options) harness.Plan {
	w := workload(o)
	trace := replay.Generate(w)
	targets, routes := harness.Pool(pool, trace)
	return harness.Plan{Duration: o.Duration, Seed: o.Seed, Progress: o.Progress, Steps: steps(),
		Streams: []load.Stream{{Pool: pool, Trace: trace}},
		Fleet: testbed.Options{Instances: w.Instances, Domains: w.Domains, Pools: []testbed.Pool{targets},
			Routes: routes, ResolveValidity: resolveValidity}}
}

// steps returns the operator actions and faults of the demo.
func steps() []harness.Step {
	history := load.RouteName(pool, load.History)
	return []harness.Step{
		{At: 0.10, Text: "an operator closes the history route in the tables", Do: func(r *harness.Run) error {
			r.SetClosed(history, closedReason)
			return nil
		}},
		{At: 0.20, Text: "target survey-00 announces that it is draining", Do: func(r *harness.Run) error {
			r.AnnounceDraining(r.Fleet.Targets()[0])
			return nil
		}},
		{At: 0.25, Text: "the operator opens the history route again", Do: func(r *harness.Run) error {
			r.SetClosed(history, "")
			return nil
		}},
		{At: 0.30, Text: "the operator marks target survey-01 as draining in the tables", Do: func(r *harness.Run) error {
			r.DrainInTables(r.Fleet.Targets()[1])
			return nil
		}},
		{At: 0.40, Text: "target survey-02 answers every request with status 500 at once", Do: setFailing(true)},
		{At: 0.55, Text: "target survey-02 works again", Do: setFailing(false)},
		{At: 0.60, Text: "the configuration service goes down", Do: setConfigurationMode(standin.Mode{Down: true})},
		{At: 0.65, Text: "instance i03 is stopped as planned; it completes what it has", Do: func(r *harness.Run) error {
			r.Background(func() error { return r.Stop(3) })
			return nil
		}},
		{At: 0.85, Text: "the configuration service is back", Do: setConfigurationMode(standin.Mode{})},
	}
}

func setFailing(on bool) func(*harness.Run) error {
	return func(r *harness.Run) error {
		r.Fleet.Targets()[2].SetFailing(on)
		return nil
	}
}

func setConfigurationMode(mode standin.Mode) func(*harness.Run) error {
	return func(r *harness.Run) error {
		r.Fleet.Configuration.SetMode(mode)
		return nil
	}
}
