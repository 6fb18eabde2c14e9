package faults_test

import (
	"testing"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// finished requires that targets ended all runs and no call failed.
func (w *scenario) finished() {
	w.t.Helper()
	w.rest()
	for _, target := range w.fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			if run.State != standin.RunFinished {
				w.t.Errorf("request %s at target %s ended as %s", run.RequestID, target.Name, run.State)
			}
		}
	}
	for i := range w.evidence.Calls {
		if call := &w.evidence.Calls[i]; call.Outcome != checker.Responded || call.Status != 200 {
			w.t.Errorf("call %+v", *call)
		}
	}
}

// Guards against requests that are cut or fail while all instances are
// replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 4})
	w.load(100, nil)
	w.moreAnswers(500)
	for place := range 4 {
		w.stop(place)
		w.fleet.Unlist(w.fleet.Instances()[place])
		w.serving(w.replace(place))
		w.moreAnswers(200)
	}
	w.finished()
	w.verify()
}

// Guards against new work on a target that leaves, and against requests that
// are cut by it, for each way in which a target can say so.
func TestLeavingTarget(t *testing.T) {
	for name, leave := range map[string]func(w *scenario, target *testbed.Target){
		"table": func(w *scenario, target *testbed.Target) {
			w.edit(w.places(all), func(d *tables.Document) {
				for i := range d.Pools[0].Targets {
					if d.Pools[0].Targets[i].Name == target.Name {
						d.Pools[0].Targets[i].State = tables.StateDraining
					}
				}
			})
		},
		"list":   func(w *scenario, target *testbed.Target) { w.fleet.ListLeaving(target) },
		"signal": func(_ *scenario, target *testbed.Target) { target.Drain() },
	} {
		for _, idle := range []bool{false, true} {
			t.Run(name+map[bool]string{false: " under load", true: " of an idle pool"}[idle], func(t *testing.T) {
				t.Parallel()
				leavingTarget(t, leave, idle)
			})
		}
	}
}

func leavingTarget(t *testing.T, leave func(*scenario, *testbed.Target), idle bool) {
	w := newScenario(t, scenarioOptions{instances: 4, targets: 3})
	target := w.fleet.Targets()[1]
	if !idle {
		w.load(16, nil)
		w.moreAnswers(200)
	}
	w.leaves(target)
	leave(w, target)
	w.pastLeaving()
	if idle {
		w.load(16, nil)
	}
	w.moreAnswers(500)
	w.finished()
	w.verify()
}
