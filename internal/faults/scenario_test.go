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

// hangLimit only ends a test that would otherwise hang.
const hangLimit = 5 * time.Minute

// Paths of the two routes.
const (
	pathLookup = "/lookup" // idempotent
	pathRecord = "/record" // not idempotent
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// scenario is a fleet under faults together with the evidence of one test.
type scenario struct {
	t      *testing.T
	begun  time.Time
	fleet  *testbed.Fleet
	halt   atomic.Bool // ends the callers
	active sync.WaitGroup
	serial atomic.Int64

	mu       sync.Mutex
	ever     []*testbed.Instance // in order of their start
	evidence checker.Evidence
}

// scenarioOptions describe a scenario.
type scenarioOptions struct {
	instances, targets int
	// service is the time of a run. Default 1 ms.
	service time.Duration
	// domains are the failure domains. Default one.
	domains []string
}

// newScenario starts a fleet and waits until it serves.
func newScenario(t *testing.T, o scenarioOptions) *scenario {
	t.Helper()
	if o.service == 0 {
		o.service = time.Millisecond
	}
	route := func(path string, idempotent bool) tables.Route {
		return tables.Route{Name: path[1:], Match: tables.Match{PathPrefix: path}, Pool: "p", Idempotent: idempotent,
			DeadlineMillis: hangLimit.Milliseconds()}
	}
	begun := time.Now()
	fleet, err := testbed.Start(testbed.Options{Instances: o.instances, Domains: o.domains,
		ResolveValidity: 300 * time.Millisecond, Poison: poison.Options{Lease: 5 * time.Second, ViewSkew: 3 * time.Second},
		Pools: []testbed.Pool{{Name: "p", Targets: o.targets, Slots: 64, Target: standin.TargetOptions{
			ServiceTime: func(*http.Request) time.Duration { return o.service }}}},
		Routes: []tables.Route{route(pathLookup, true), route(pathRecord, false)}})
	if err != nil {
		t.Fatal(err)
	}
	w := &scenario{t: t, begun: begun, fleet: fleet, ever: fleet.Instances()}
	t.Cleanup(fleet.Close)
	t.Cleanup(w.rest) // before the fleet is closed
	if err := fleet.WaitReady(hangLimit); err != nil {
		t.Fatal(err)
	}
	return w
}

// rest ends the callers.
func (w *scenario) rest() {
	w.halt.Store(true)
	w.active.Wait()
}

// until waits for a condition. The limit only ends a hung test.
func (w *scenario) until(what string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(hangLimit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("after %v still waiting: %s", hangLimit, what)
		}
	}
}

// places returns the instances at the places that the filter accepts.
func (w *scenario) places(accept func(place int) bool) []*testbed.Instance {
	var chosen []*testbed.Instance
	for place, instance := range w.fleet.Instances() {
		if accept(place) {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

func all(int) bool        { return true }
func even(place int) bool { return place%2 == 0 }
func odd(place int) bool  { return place%2 == 1 }

// edit publishes a change and records that these instances have to put it in force.
func (w *scenario) edit(affected []*testbed.Instance, change func(*tables.Document)) uint64 {
	at := time.Now()
	version := w.fleet.Edit(change)
	w.expect(version, at, affected)
	return version
}

// expect records that instances have to have a version within the bound.
func (w *scenario) expect(version uint64, at time.Time, affected []*testbed.Instance) {
	edit := checker.Edit{Version: version, At: at}
	for _, instance := range affected {
		edit.Instances = append(edit.Instances, instance.ID())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Edits = append(w.evidence.Edits, edit)
}

// inForce waits until the instances have the version or a higher one.
func (w *scenario) inForce(instances []*testbed.Instance, version uint64) {
	w.t.Helper()
	for _, instance := range instances {
		w.until(fmt.Sprintf("instance %s has version %d", instance.ID(), version), func() bool {
			return instance.Status().Configuration.Version >= version
		})
	}
}

// leaves records that a target begins to leave now.
func (w *scenario) leaves(target *testbed.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.Leaving = append(w.evidence.Leaving, checker.Leaving{Target: target.Name, At: time.Now()})
	w.evidence.PlannedStops++
}

// pastLeaving waits until work that began is past the bound of all targets
// that leave, so that the check has something to find.
func (w *scenario) pastLeaving() {
	w.t.Helper()
	w.mu.Lock()
	var last time.Time
	for _, leaving := range w.evidence.Leaving {
		last = leaving.At
	}
	w.mu.Unlock()
	w.until("the bound of leaving targets has passed", func() bool { return time.Since(last) > checker.LeavingBound })
}

// kill ends an instance at once.
func (w *scenario) kill(place int) {
	_ = w.fleet.Instances()[place].Kill() // cut requests are what a crash does
}

// stop stops an instance as planned and records what it cut.
func (w *scenario) stop(place int) {
	instance := w.fleet.Instances()[place]
	err := instance.StopAndWait()
	var cut *dogwoodroute.AbortedRequestsError
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evidence.PlannedStops++
	switch {
	case errors.As(err, &cut):
		w.evidence.AbortedRequests += int(cut.Count)
	case err != nil:
		w.t.Errorf("planned stop of instance %s: %v", instance.ID(), err)
	}
}

// replace starts a new instance at the place of an ended one.
func (w *scenario) replace(place int) *testbed.Instance {
	w.t.Helper()
	instance, err := w.fleet.Replace(place)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ever = append(w.ever, instance)
	return instance
}

// serving waits until an instance serves.
func (w *scenario) serving(instances ...*testbed.Instance) {
	w.t.Helper()
	for _, instance := range instances {
		w.until("instance "+instance.ID()+" serves", func() bool {
			return instance.Status().Instance.State == admin.Serving
		})
	}
}

// verify ends the callers, collects the evidence and requires all verdicts.
func (w *scenario) verify() {
	w.t.Helper()
	w.rest()
	for _, v := range checker.Check(w.collect()) {
		w.t.Logf("%s: %d checked", v.Invariant, v.Checked)
		if !v.Holds() {
			w.t.Errorf("%s: %d of %d violate it: %q", v.Invariant, v.Violations, v.Checked, v.Examples)
		}
	}
}

// budget compares all probes with the default allowance of the pool.
func (w *scenario) budget() checker.Budget {
	var measure tables.Measure
	b := checker.Budget{Pool: "p", Requests: int64(len(w.evidence.Calls)), Targets: len(w.fleet.Targets()),
		Elapsed: time.Since(w.begun), PerRequest: measure.PerRequest(),
		PerTargetPerSecond: measure.PerTargetPerSecond(), IdlePerTargetPerSecond: measure.IdlePerTargetPerSecond()}
	for _, target := range w.fleet.Targets() {
		b.Probes += target.Probes()
	}
	return b
}

// collect completes the evidence with what targets and instances recorded.
func (w *scenario) collect() *checker.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.evidence
	e.Runs, e.Versions = nil, nil
	for _, target := range w.fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			e.Runs = append(e.Runs, checker.Run{Target: target.Name, RequestID: run.RequestID, Start: run.Start})
		}
	}
	for _, instance := range w.ever {
		for _, event := range instance.Timeline().Select(timeline.Filter{StateOnly: true}) {
			if event.Kind == timeline.ConfigurationInForce {
				e.Versions = append(e.Versions, checker.Version{Instance: event.Instance,
					Incarnation: event.Incarnation, Version: event.Version, At: event.Time})
			}
		}
	}
	e.Budgets = []checker.Budget{w.budget()}
	// The tests have waited for their edits, so that none is too young to check.
	e.EndedAt = time.Now().Add(checker.ConfigurationBound)
	return e
}
