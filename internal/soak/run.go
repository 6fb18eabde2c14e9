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
	// readyTimeout only ends a run whose instances never serve again.
	readyTimeout = 30 * time.Second
	// extraRoute is added and removed during a run.
	extraRoute = "extra"
)

// Result is what a run showed.
type Result struct {
	Seed uint64
	// Requests, Served and Runs count what callers sent, what was answered with
	// success, and the arrivals at targets.
	Requests, Served, Runs int
	// Events counts the events by kind.
	Events map[string]int
	// Violations lists the promises that were broken, each with its first cases.
	Violations []string
}

// Run plays one seed. The processes that it starts have ended when it returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := os.MkdirAll(o.Directory, 0o700); err != nil {
		return nil, errors.Wrap(err, "make the directory of the run")
	}
	f, err := newFleet(o)
	if err != nil {
		return nil, errors.Wrap(err, "open the fleet")
	}
	defer f.close()
	f.startAll()
	broken := f.notReady(ctx, "at the start")
	for _, i := range f.instances {
		i.settings.FirstStart = false
		if err := i.writeSettings(); err != nil {
			return nil, err
		}
	}
	stopCallers := f.startCallers(ctx)
	f.runEvents(ctx, schedule(o))
	f.startAll()
	broken = append(broken, f.notReady(ctx, "after the faults")...)
	broken = append(broken, f.converge(ctx)...)
	stopCallers()
	var stops sync.WaitGroup
	for _, i := range f.instances {
		stops.Go(func() { i.stop() })
	}
	stops.Wait()
	return f.result(broken), ctx.Err()
}

func (f *fleet) notReady(ctx context.Context, when string) (broken []string) {
	for _, id := range f.waitReady(ctx, readyTimeout) {
		broken = append(broken, fmt.Sprintf("every instance serves %s: %s does not", when, id))
	}
	return broken
}

// startCallers returns a function that ends the callers and waits for them.
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

// converge asks each instance until it serves both routes and knows the newest
// configuration, or a time is over.
func (f *fleet) converge(ctx context.Context) (broken []string) {
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
				broken = append(broken, fmt.Sprintf("every instance takes over the newest configuration: %s answers %d on route %s, not %d",
					i.settings.ID, got, check.route, check.want))
			}
		}
		c.closeConnection()
	}
	return broken
}

func (f *fleet) result(broken []string) *Result {
	for _, i := range f.instances {
		i.mu.Lock()
		broken = append(broken, i.violations...)
		i.mu.Unlock()
	}
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	b := f.recorder.evidence()
	r := &Result{Seed: f.options.Seed, Requests: len(b.requests), Runs: len(b.recorder.arrivals), Events: make(map[string]int)}
	for _, s := range b.requests {
		if s.status == http.StatusOK {
			r.Served++
		}
	}
	for _, d := range b.faultWindows {
		r.Events[d.name]++
	}
	for _, p := range invariants {
		if p.timeBound && !f.options.CheckTimeBounds {
			continue
		}
		if cases := p.check(b); len(cases) > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d cases, first %s", p.name, len(cases), cases[0]))
		}
	}
	if r.Served == 0 {
		broken = append(broken, "requests are served: none was")
	}
	r.Violations = broken
	return r
}
