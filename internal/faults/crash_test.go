package faults_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// maxCrashed is the bound of the design on targets that one request crashes.
const maxCrashed = 2

// crashes counts the runs that crashed their target.
func (w *scenario) crashes() int {
	n := 0
	for _, target := range w.fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			if run.State == standin.RunCrashed {
				n++
			}
		}
	}
	return n
}

// Guards against a crash-causing request that takes down target after target
// when its caller sends it without end through all instances, in turn and in
// parallel, and against innocent requests that never succeed beside it.
// A new fleet permits no trials for 8 s with the options of the test.
func TestCrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 6, service: 5 * time.Millisecond})
	r, instances := w.raw(), w.fleet.Instances()
	crash := func(n int) {
		o := w.order(pathLookup)
		o.body, o.fault, o.deadline = "the same each time", standin.FaultCrash, time.Second
		r.send(instances[n%len(instances)].CallerAddress(), o, "", 1)
	}
	var innocents sync.WaitGroup
	for range 24 { // some of them are in flight beside the first crash
		innocents.Go(func() { w.succeed(r, w.order(pathLookup)) })
	}
	crash(0)
	for n := range 8 {
		crash(n)
	}
	var done atomic.Bool
	var senders sync.WaitGroup
	for n := range 8 {
		senders.Go(func() {
			for ; !done.Load(); n++ {
				crash(n)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	innocents.Wait()
	w.load(4, nil)
	w.until("the request was tried again and blocked", func() bool { return w.crashes() >= maxCrashed })
	w.moreAnswers(200)
	done.Store(true)
	senders.Wait()
	if n := w.crashes(); n > maxCrashed {
		t.Errorf("%d targets crashed, at most %d", n, maxCrashed)
	}
	w.verify()
}

// succeed resends one content until it is answered. Each send has an
// identifier of its own, as "not run" is told of each send.
func (w *scenario) succeed(r *raw, o order) {
	instances := w.fleet.Instances()
	for n, end := 0, time.Now().Add(hangLimit); ; n++ {
		again := w.order(o.path)
		again.body = o.body
		if r.send(instances[n%len(instances)].CallerAddress(), again, "", 1).Outcome == checker.Responded {
			return
		}
		if time.Now().After(end) {
			w.t.Errorf("the innocent request %s was not answered", o.id)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
