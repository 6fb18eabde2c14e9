package harness

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Plan describes one run.
type Plan struct {
	Fleet   testbed.Options
	Streams []load.Stream
	// Duration is the time over which requests arrive.
	Duration time.Duration
	Steps    []Step
	Seed     uint64
	// Progress, if not nil, receives a text at each step; at is the time since the
	// first arrival.
	Progress func(at time.Duration, text string)
}

// Step is an action at a given time of a run.
type Step struct {
	// At is the time of the step, as a share of Plan.Duration.
	At float64
	// Text describes the step for Plan.Progress.
	Text string
	// Do carries out the step. Steps run one after the other, so long actions
	// should run in Run.Background.
	Do func(*Run) error
	// Fault is the equivalent change for the replay, or nil if there is none.
	Fault *replay.Fault
}

// Pool returns a testbed pool with the targets of a trace, and the routes to it.
func Pool(name string, t *replay.Trace) (testbed.Pool, []tables.Route) {
	pool := testbed.Pool{Name: name, Targets: len(t.Pool.Targets), Slots: t.Pool.Targets[0].Slots}
	pool.Target.Queue, pool.Target.ServiceTime = t.Queue, load.ServiceTime
	return pool, load.Routes(name)
}

// Faults returns the steps' equivalents for the replay of a run of the given length.
// Steps without one are left out.
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
