package harness

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// readyLimit only ends a start that would otherwise hang.
const readyLimit = time.Minute

// Run is a run in progress. Steps use its methods.
type Run struct {
	Fleet *testbed.Fleet
	// Calls are in order of arrival, once the load has ended.
	Calls []load.Call

	plan    *Plan
	begun   time.Time // start of the fleet
	end     time.Time
	context context.Context
	tasks   sync.WaitGroup

	mu       sync.Mutex
	members  []member
	leaving  []checker.Leaving
	edits    []checker.Edit
	stops    int
	cut      int
	failures []error
}

// member is one incarnation of an instance.
type member struct {
	*testbed.Instance
	from  time.Time
	until time.Time // zero while it should run
}

// Execute starts the fleet, sends the load beside the steps, and returns the
// finished run. Close ends the fleet.
func Execute(ctx context.Context, p Plan) (*Run, error) {
	r := &Run{plan: &p, begun: time.Now(), context: ctx}
	var err error
	if r.Fleet, err = testbed.Start(p.Fleet); err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	for _, instance := range r.Fleet.Instances() {
		r.members = append(r.members, member{Instance: instance, from: r.begun})
	}
	if err := r.Fleet.WaitReady(readyLimit); err != nil {
		r.Close()
		return nil, err
	}
	r.say(0, fmt.Sprintf("the fleet is ready; requests are sent for %v", p.Duration))
	r.say(0, "while it runs, ask it: dogwoodroute status --instances-url "+r.Fleet.InstancesURL())
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tasks.Go(func() { r.steps(ctx, start) })
	calls := load.Run(ctx, load.Options{Streams: p.Streams, Addresses: r.Fleet.Addresses(), Domains: p.Fleet.Domains,
		Seed: p.Seed, Start: start})
	r.tasks.Wait()
	r.mu.Lock()
	r.Calls = append(calls, r.Calls...)
	r.mu.Unlock()
	r.end = time.Now()
	if err := errors.Join(append(r.failures, ctx.Err())...); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Close ends the fleet.
func (r *Run) Close() { r.Fleet.Close() }

// Elapsed returns how long the fleet ran.
func (r *Run) Elapsed() time.Duration { return r.end.Sub(r.begun) }

func (r *Run) say(at time.Duration, text string) {
	if r.plan.Progress != nil {
		r.plan.Progress(at, text)
	}
}

// steps carries out the plan's steps at their times.
func (r *Run) steps(ctx context.Context, start time.Time) {
	for _, step := range r.plan.Steps {
		at := time.Duration(step.At * float64(r.plan.Duration))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		r.say(time.Since(start), step.Text)
		if err := step.Do(r); err != nil {
			r.fail(errors.Wrap(err, step.Text))
		}
	}
}

// Background runs part of a step beside the next ones. The run waits for it.
func (r *Run) Background(task func() error) {
	r.tasks.Go(func() {
		if err := task(); err != nil {
			r.fail(err)
		}
	})
}

func (r *Run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}
