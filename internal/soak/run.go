package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/platform"
)

const (
	// readyTimeout ends a run whose instances do not become ready. It is far above
	// the time that a start takes.
	readyTimeout = 30 * time.Second
	// extraRoute is a route that reconfigurations add and remove.
	extraRoute = "extra"
)

// Result summarizes a run.
type Result struct {
	Seed uint64
	// Requests is the number of requests that callers sent, Served the number of
	// responses with status 200, and Runs the number of arrivals at targets.
	Requests, Served, Runs int
	// Stalls counts the times at which the machine did not run this process for stallGap.
	Stalls int
	// Events counts the injected events by kind.
	Events map[string]int
	// Violations describes each violated invariant with its first case.
	Violations []string
}

// Run starts a fleet, injects the events of the seed and checks the invariants.
// Violations are returned in the Result, not as an error. All processes that Run
// started have ended when it returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := os.MkdirAll(o.Directory, 0o700); err != nil {
		return nil, errors.Wrap(err, "create run directory")
	}
	f, err := newFleet(o)
	if err != nil {
		return nil, errors.Wrap(err, "create fleet")
	}
	defer f.close()
	f.startAll()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go f.watchStalls(watching)
	violations := f.notReady(ctx, "at the start")
	for _, i := range f.instances {
		i.settings.FirstStart = false
		if err := i.writeSettings(); err != nil {
			return nil, err
		}
	}
	stopCallers := f.startCallers(ctx)
	stopCrashing := f.startCrashingCaller(ctx)
	f.runEvents(ctx, schedule(o))
	stopCrashing()
	f.startAll()
	violations = append(violations, f.notReady(ctx, "after the faults")...)
	violations = append(violations, f.converge(ctx)...)
	stopCallers()
	var stops sync.WaitGroup
	for _, i := range f.instances {
		stops.Go(func() { i.stop() })
	}
	stops.Wait()
	return f.result(violations), ctx.Err()
}

func (f *fleet) notReady(ctx context.Context, when string) (violations []string) {
	for _, id := range f.waitReady(ctx, readyTimeout) {
		violations = append(violations, fmt.Sprintf("every instance serves %s: %s does not", when, id))
	}
	return violations
}

// startCallers starts the callers and returns a function that stops them and
// waits for their end.
func (f *fleet) startCallers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for number := range f.options.Callers {
		c := f.newCaller(number)
		all.Go(func() { c.run(ctx) })
	}
	return func() { cancel(); all.Wait() }
}

func (f *fleet) newCaller(number int) *caller {
	return &caller{number: number, fleet: f, recorder: f.recorder, dialect: platform.Dialect(), client: f.client,
		random: rand.New(rand.NewPCG(f.options.Seed, uint64(1000+number)))}
}

// newEventCaller returns a caller for one event, with a number of its own.
func (f *fleet) newEventCaller() *caller {
	// after those of converge and the one with the request that crashes targets
	return f.newCaller(f.options.Callers + f.options.Instances + int(f.callers.Add(1)))
}

// converge sends requests to each instance until it serves both routes and has
// the newest configuration in force. It returns a violation for each check that
// does not pass within readyTimeout.
func (f *fleet) converge(ctx context.Context) (violations []string) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want := http.StatusNotFound
	if len(f.config.Routes) > len(routes) {
		want = http.StatusOK
	}
	for number, i := range f.instances {
		c := f.newCaller(f.options.Callers + number)
		for _, check := range []struct {
			route string
			want  int
		}{{routes[0].name, http.StatusOK}, {routes[1].name, http.StatusOK}, {extraRoute, want}} {
			got := 0
			for got != check.want && ctx.Err() == nil {
				got = c.sendTo(ctx, i, check.route)
			}
			if got != check.want {
				violations = append(violations, fmt.Sprintf("every instance takes over the newest configuration: %s answers %d on route %s, not %d",
					i.settings.ID, got, check.route, check.want))
			}
		}
		c.closeConnection()
	}
	return violations
}

func (f *fleet) result(violations []string) *Result {
	for _, i := range f.instances {
		i.mu.Lock()
		violations = append(violations, i.violations...)
		i.mu.Unlock()
	}
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	e := f.recorder.evidence()
	r := &Result{Seed: f.options.Seed, Requests: len(e.requests), Runs: len(e.recorder.arrivals), Stalls: len(e.stalls), Events: make(map[string]int)}
	for _, req := range e.requests {
		if req.status == http.StatusOK {
			r.Served++
		}
	}
	for _, d := range e.faultWindows {
		r.Events[d.name]++
	}
	for _, p := range invariants {
		if p.timeBound && !f.options.CheckTimeBounds {
			continue
		}
		if cases := p.check(e); len(cases) > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d cases, first %s", p.name, len(cases), cases[0]))
		}
	}
	if r.Served == 0 {
		violations = append(violations, "requests are served: none was")
	}
	r.Violations = violations
	return r
}
