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

// readyTimeout ends a start that would otherwise hang.
const readyTimeout = time.Minute

// Run is a run in progress or a finished one. Steps and background tasks call its
// methods.
type Run struct {
	Fleet *testbed.Fleet
	// Calls holds the calls of the load in order of arrival, followed by those of
	// SendCrashingRequest. It is complete once Execute has returned.
	Calls []load.Call

	plan      *Plan
	startedAt time.Time // start of the fleet
	endedAt   time.Time
	context   context.Context
	tasks     sync.WaitGroup

	mu              sync.Mutex
	members         []member
	leaving         []checker.Leaving
	edits           []checker.Edit
	plannedStops    int
	abortedRequests int
	failures        []error
}

// member is one incarnation of an instance.
type member struct {
	*testbed.Instance
	from  time.Time
	until time.Time // zero until it is stopped or killed
}

// Execute starts the fleet, sends the load while it carries out the steps, and returns
// the finished run. The caller must call Close. If a step fails or ctx ends, Execute
// closes the fleet and returns the errors.
func Execute(ctx context.Context, p Plan) (*Run, error) {
	r := &Run{plan: &p, startedAt: time.Now(), context: ctx}
	var err error
	if r.Fleet, err = testbed.Start(p.Fleet); err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	for _, instance := range r.Fleet.Instances() {
		r.members = append(r.members, member{Instance: instance, from: r.startedAt})
	}
	if err := r.Fleet.WaitReady(readyTimeout); err != nil {
		r.Close()
		return nil, err
	}
	r.progress(0, fmt.Sprintf("the fleet is ready; requests are sent for %v", p.Duration))
	r.progress(0, "while it runs, ask it: dogwoodroute status --instances-url "+r.Fleet.InstancesURL())
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tasks.Go(func() { r.runSteps(ctx, start) })
	calls := load.Run(ctx, load.Options{Streams: p.Streams, Addresses: r.Fleet.Addresses(), Domains: p.Fleet.Domains,
		Seed: p.Seed, Start: start})
	r.tasks.Wait()
	r.mu.Lock()
	r.Calls = append(calls, r.Calls...)
	r.mu.Unlock()
	r.endedAt = time.Now()
	if err := errors.Join(append(r.failures, ctx.Err())...); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Close stops the fleet.
func (r *Run) Close() { r.Fleet.Close() }

// Elapsed returns the time from the start of the fleet to the end of the load.
func (r *Run) Elapsed() time.Duration { return r.endedAt.Sub(r.startedAt) }

func (r *Run) progress(at time.Duration, text string) {
	if r.plan.Progress != nil {
		r.plan.Progress(at, text)
	}
}

// runSteps carries out the plan's steps at their times and records their errors. It
// returns early when ctx is cancelled.
func (r *Run) runSteps(ctx context.Context, start time.Time) {
	for _, step := range r.plan.Steps {
		at := time.Duration(step.At * float64(r.plan.Duration))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		r.progress(time.Since(start), step.Text)
		if err := step.Do(r); err != nil {
			r.addFailure(errors.Wrap(err, step.Text))
		}
	}
}

// Background runs task concurrently with the following steps. Execute waits for it and
// returns its error.
func (r *Run) Background(task func() error) {
	r.tasks.Go(func() {
		if err := task(); err != nil {
			r.addFailure(err)
		}
	})
}

func (r *Run) addFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}
