package faults_test

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute"
	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// hangTimeout ends a test that would otherwise hang.
const hangTimeout = 5 * time.Minute

// Paths of the two routes.
const (
	pathLookup = "/lookup" // idempotent
	pathRecord = "/record" // not idempotent
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// scenario is the fleet of one test together with its callers and the evidence.
type scenario struct {
	t              *testing.T
	startedAt      time.Time
	fleet          *testbed.Fleet
	stopping       atomic.Bool // makes the callers return
	callers        sync.WaitGroup
	requestCounter atomic.Int64
	pauses         *pauseWatcher

	mu           sync.Mutex
	allInstances []*testbed.Instance // also ended ones, in the order of their start
	evidence     checker.Evidence
}

// scenarioOptions configures a scenario.
type scenarioOptions struct {
	instances, targets int
	// service is the service time of the targets. Default 1 ms.
	service time.Duration
	// domains are the failure domains. Default a single one.
	domains []string
}

// newScenario starts a fleet and waits until it serves. The fleet is closed at the end
// of the test.
func newScenario(t *testing.T, o scenarioOptions) *scenario {
	t.Helper()
	if o.service == 0 {
		o.service = time.Millisecond
	}
	route := func(path string, idempotent bool) tables.Route {
		return tables.Route{Name: path[1:], Match: tables.Match{PathPrefix: path}, Pool: "p", Idempotent: idempotent,
			DeadlineMillis: hangTimeout.Milliseconds()}
	}
	startedAt := time.Now()
	fleet, err := testbed.Start(testbed.Options{Instances: o.instances, Domains: o.domains,
		ResolveValidity: 300 * time.Millisecond, ShutdownLimit: 2 * hangTimeout, // above the deadlines: a leaving instance serves
		Poison: poison.Options{Lease: 5 * time.Second, ViewSkew: 3 * time.Second},
		Pools: []testbed.Pool{{Name: "p", Targets: o.targets, Slots: 64, Target: standin.TargetOptions{
			ServiceTime: func(*http.Request) time.Duration { return o.service }}}},
		Routes: []tables.Route{route(pathLookup, true), route(pathRecord, false)}})
	if err != nil {
		t.Fatal(err)
	}
	w := &scenario{t: t, startedAt: startedAt, fleet: fleet, allInstances: fleet.Instances(), pauses: watchPauses(t)}
	t.Cleanup(fleet.Close)
	t.Cleanup(w.stopCallers) // runs before the fleet is closed
	if err := fleet.WaitReady(hangTimeout); err != nil {
		t.Fatal(err)
	}
	return w
}

// stopCallers stops the callers and waits for them.
func (w *scenario) stopCallers() {
	w.stopping.Store(true)
	w.callers.Wait()
}

// waitUntil waits until a condition holds. It fails the test after hangTimeout.
func (w *scenario) waitUntil(what string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("after %v still waiting: %s", hangTimeout, what)
		}
	}
}

// instancesAt returns the instances at the indexes that the filter accepts.
func (w *scenario) instancesAt(accept func(index int) bool) []*testbed.Instance {
	var chosen []*testbed.Instance
	for index, instance := range w.fleet.Instances() {
		if accept(index) {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

func all(int) bool        { return true }
func even(index int) bool { return index%2 == 0 }
func odd(index int) bool  { return index%2 == 1 }

// edit publishes a change, records that the affected instances must put it in force,
// and returns its version.
func (w *scenario) edit(affected []*testbed.Instance, change func(*tables.Document)) uint64 {
	at := time.Now()
	version := w.fleet.Edit(change)
	w.expectEdit(version, at, affected)
	return version
}

// expectEdit records that the affected instances must have the version or a higher one
// in force within checker.ConfigurationBound after at.
func (w *scenario) expectEdit(version uint64, at time.Time, affected []*testbed.Instance) {
	edit := checker.Edit{Version: version, At: at}
	for _, instance := range affected {
		edit.Instances = append(edit.Instances, instance.ID())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Edits = append(w.evidence.Edits, edit)
}

// waitInForce waits until the instances have the version or a higher one in force.
func (w *scenario) waitInForce(instances []*testbed.Instance, version uint64) {
	w.t.Helper()
	for _, instance := range instances {
		w.waitUntil(fmt.Sprintf("instance %s has version %d", instance.ID(), version), func() bool {
			return instance.Status().Configuration.Version >= version
		})
	}
}

// recordLeaving records that a target begins to leave now.
func (w *scenario) recordLeaving(target *testbed.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Leaving = append(w.evidence.Leaving, checker.Leaving{Target: target.Name, At: time.Now()})
	w.evidence.PlannedStops++
}

// waitPastLeavingBound waits until checker.LeavingBound has passed since the last
// target began to leave, so that later runs on it would be detected.
func (w *scenario) waitPastLeavingBound() {
	w.t.Helper()
	w.mu.Lock()
	var last time.Time
	for _, leaving := range w.evidence.Leaving {
		last = leaving.At
	}
	w.mu.Unlock()
	w.waitUntil("the bound of leaving targets has passed", func() bool { return time.Since(last) > checker.LeavingBound })
}

// kill stops an instance without completing its requests, as a crash does.
func (w *scenario) kill(index int) {
	_ = w.fleet.Instances()[index].Kill() // a crash may abort requests
}

// stop stops an instance gracefully and records the number of aborted requests.
func (w *scenario) stop(index int) {
	instance := w.fleet.Instances()[index]
	err := instance.StopAndWait()
	var aborted *dogwoodroute.AbortedRequestsError
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.PlannedStops++
	switch {
	case errors.As(err, &aborted):
		w.evidence.AbortedRequests += int(aborted.Count)
	case err != nil:
		w.t.Errorf("planned stop of instance %s: %v", instance.ID(), err)
	}
}

// replace starts a new instance in place of the one at an index, which must have ended.
func (w *scenario) replace(index int) *testbed.Instance {
	w.t.Helper()
	instance, err := w.fleet.Replace(index)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allInstances = append(w.allInstances, instance)
	return instance
}

// waitServing waits until the instances serve.
func (w *scenario) waitServing(instances ...*testbed.Instance) {
	w.t.Helper()
	for _, instance := range instances {
		w.waitUntil("instance "+instance.ID()+" serves", func() bool {
			return instance.Status().Instance.State == admin.Serving
		})
	}
}

// verify stops the callers and requires that all invariants hold.
func (w *scenario) verify() {
	w.t.Helper()
	w.stopCallers()
	for _, v := range checker.Check(w.collectEvidence()) {
		w.t.Logf("%s: %d checked", v.Invariant, v.Checked)
		if !v.Holds() {
			w.t.Errorf("%s: %d of %d violate it: %q", v.Invariant, v.Violations, v.Checked, v.Examples)
		}
	}
}

// probeBudget returns the number of probes with the default allowance of a pool.
func (w *scenario) probeBudget() checker.Budget {
	var measure tables.Measure
	b := checker.Budget{Pool: "p", Requests: int64(len(w.evidence.Calls)), Targets: len(w.fleet.Targets()),
		Elapsed: time.Since(w.startedAt), PerRequest: measure.PerRequest(),
		PerTargetPerSecond: measure.PerTargetPerSecond(), IdlePerTargetPerSecond: measure.IdlePerTargetPerSecond()}
	for _, target := range w.fleet.Targets() {
		b.Probes += target.Probes()
	}
	return b
}

// collectEvidence completes the evidence with the records of targets and instances.
func (w *scenario) collectEvidence() *checker.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.evidence
	e.Runs, e.Versions = nil, nil
	for _, target := range w.fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			e.Runs = append(e.Runs, checker.Run{Target: target.Name, RequestID: run.RequestID, Start: run.Start})
		}
	}
	for _, instance := range w.allInstances {
		for _, event := range instance.Timeline().Select(timeline.Filter{StateOnly: true}) {
			if event.Kind == timeline.ConfigurationInForce {
				e.Versions = append(e.Versions, checker.Version{Instance: event.Instance,
					Incarnation: event.Incarnation, Version: event.Version, At: event.Time})
			}
		}
	}
	e.Budgets = []checker.Budget{w.probeBudget()}
	// The tests have waited for their edits, so the end is set so late that no edit
	// is too recent to be checked.
	e.EndedAt = time.Now().Add(checker.ConfigurationBound)
	return e
}
