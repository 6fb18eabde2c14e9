package faults_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// maxCrashed is the maximum number of targets that one request may crash.
const maxCrashed = 2

// crashedRuns returns the number of runs that crashed their target.
func (w *scenario) crashedRuns() int {
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

// Guards against a request that crashes more than maxCrashed targets when its caller
// keeps sending it through all instances, in turn and in parallel, and against other
// requests that then never succeed. With the options of the test, a new fleet permits
// no trials for the first 8 s.
func TestCrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 6, service: 5 * time.Millisecond})
	r, instances := w.newRawClient(), w.fleet.Instances()
	crash := func(n int) {
		o := w.newRequest(pathLookup)
		o.body, o.fault, o.deadline = "the same each time", standin.FaultCrash, time.Second
		r.send(instances[n%len(instances)].CallerAddress(), o, "", 1)
	}
	var others sync.WaitGroup
	for range 24 { // some of them are in flight at the first crash
		others.Go(func() { w.sendUntilResponse(r, w.newRequest(pathLookup)) })
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
	others.Wait()
	w.startCallers(4, nil)
	w.waitUntil("the request was tried again and blocked", func() bool { return w.crashedRuns() >= maxCrashed })
	w.waitForResponses(200)
	done.Store(true)
	senders.Wait()
	if n := w.crashedRuns(); n > maxCrashed {
		t.Errorf("%d targets crashed, at most %d", n, maxCrashed)
	}
	w.verify()
}

// sendUntilResponse sends requests with the body of o until one receives a response.
// Each has its own identifier, because a "not run" report applies to one request.
func (w *scenario) sendUntilResponse(r *rawClient, o testRequest) {
	instances := w.fleet.Instances()
	for n, end := 0, time.Now().Add(hangTimeout); ; n++ {
		retry := w.newRequest(o.path)
		retry.body = o.body
		if r.send(instances[n%len(instances)].CallerAddress(), retry, "", 1).Outcome == checker.Responded {
			return
		}
		if time.Now().After(end) {
			w.t.Errorf("request %s received no response", o.id)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
