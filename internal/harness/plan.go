package harness

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Plan is one run.
type Plan struct {
	Fleet   testbed.Options
	Streams []load.Stream
	// Duration of the arrivals.
	Duration time.Duration
	Steps    []Step
	Seed     uint64
	// Progress receives a sentence at each step; at is the time since the first arrival.
	Progress func(at time.Duration, text string)
}

// Step is something that happens during a run.
type Step struct {
	// At is the moment as a share of Plan.Length.
	At   float64
	Text string
	// Do carries the step out. Steps run one after the other; what takes long
	// belongs into Run.Background.
	Do func(*Run) error
	// Fault is the same change for the replay, if it can be expressed.
	Fault *replay.Fault
}

// Pool returns the testbed pool and the routes for the targets of a trace.
func Pool(name string, t *replay.Trace) (testbed.Pool, []tables.Route) {
	pool := testbed.Pool{Name: name, Targets: len(t.Pool.Targets), Slots: t.Pool.Targets[0].Slots}
	pool.Target.Queue, pool.Target.ServiceTime = t.Queue, load.ServiceTime
	return pool, load.Routes(name)
}

// Faults returns the replay's form of the steps.
func Faults(steps []Step, length time.Duration) []replay.Fault {
	var faults []replay.Fault
	for _, step := range steps {
		if step.Fault != nil {
			fault := *step.Fault
			fault.At = int64(step.At * float64(length.Microseconds()))
			faults = append(faults, fault)
		}
	}
	return faults
}
