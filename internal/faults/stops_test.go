package faults_test

import (
	"testing"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// verifyAllFinished stops the callers and requires that targets finished all runs and
// that all calls received status 200, but for refusals after a recorded pause of the whole
// process.
func (w *scenario) verifyAllFinished() {
	w.t.Helper()
	w.stopCallers()
	for _, target := range w.fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			if run.State != standin.RunFinished {
				w.t.Errorf("request %s at target %s ended as %s", run.RequestID, target.Name, run.State)
			}
		}
	}
	for i := range w.evidence.Calls {
		if call := &w.evidence.Calls[i]; (call.Outcome != checker.Responded || call.Status != 200) && !w.pauses.explains(call) {
			w.t.Errorf("call %+v", *call)
		}
	}
}

// Guards against requests that are aborted or fail while all instances are stopped and
// replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 4})
	w.startCallers(100, nil)
	w.waitForResponses(500)
	for index := range 4 {
		w.stop(index)
		w.fleet.Unlist(w.fleet.Instances()[index])
		w.waitServing(w.replace(index))
		w.waitForResponses(200)
	}
	w.verifyAllFinished()
	w.verify()
}

// Guards against new requests on a leaving target and against requests that fail
// because it leaves, for each way to announce that: in the tables, in the list of
// instances, and by the target itself.
func TestLeavingTarget(t *testing.T) {
	for name, leave := range map[string]func(w *scenario, target *testbed.Target){
		"table": func(w *scenario, target *testbed.Target) {
			w.edit(w.instancesAt(all), func(d *tables.Document) {
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
		w.startCallers(16, nil)
		w.waitForResponses(200)
	}
	w.recordLeaving(target)
	leave(w, target)
	w.waitPastLeavingBound()
	if idle {
		w.startCallers(16, nil)
	}
	w.waitForResponses(500)
	w.verifyAllFinished()
	w.verify()
}
