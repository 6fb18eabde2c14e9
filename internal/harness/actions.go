package harness

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute"
	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Edit publishes a change of the tables and records it as an edit that all running
// instances must put in force.
func (r *Run) Edit(change func(*tables.Document)) {
	at := time.Now()
	version := r.Fleet.Edit(change)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.edits = append(r.edits, checker.Edit{Version: version, At: at})
}

// SetClosed closes a route with a reason. An empty reason opens it.
func (r *Run) SetClosed(route, reason string) {
	r.Edit(func(d *tables.Document) {
		for i := range d.Routes {
			if d.Routes[i].Name == route {
				d.Routes[i].Closed = reason
			}
		}
	})
}

// DrainInTables marks a target as draining in the tables and records that it leaves.
func (r *Run) DrainInTables(t *testbed.Target) {
	r.recordLeaving(t)
	r.Edit(func(d *tables.Document) {
		for i := range d.Pools {
			for j := range d.Pools[i].Targets {
				if target := &d.Pools[i].Targets[j]; target.Name == t.Name {
					target.State = tables.StateDraining
				}
			}
		}
	})
}

// AnnounceDraining makes a target report that it is draining, and records that it
// leaves.
func (r *Run) AnnounceDraining(t *testbed.Target) {
	r.recordLeaving(t)
	t.Drain()
}

func (r *Run) recordLeaving(t *testbed.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, checker.Leaving{Target: t.Name, At: time.Now()})
	r.plannedStops++
}

// Stop stops the instance at an index gracefully, waits for its end, and removes it
// from the list of instances. Requests that the stop aborted are recorded and are not
// an error.
func (r *Run) Stop(index int) error {
	instance := r.Fleet.Instances()[index]
	r.recordEnd(instance)
	err := instance.StopAndWait()
	r.Fleet.Unlist(instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plannedStops++
	var aborted *dogwoodroute.AbortedRequestsError
	if errors.As(err, &aborted) {
		r.abortedRequests += int(aborted.Count)
		return nil
	}
	return err
}

// Kill stops the instance at an index without completing its requests, as a crash
// does, and removes it from the list of instances.
func (r *Run) Kill(index int) {
	instance := r.Fleet.Instances()[index]
	r.recordEnd(instance)
	_ = instance.Kill() // a crash may abort requests
	r.Fleet.Unlist(instance)
}

func (r *Run) recordEnd(instance *testbed.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.members {
		if r.members[i].Instance == instance {
			r.members[i].until = time.Now()
		}
	}
}

// Replace starts a new instance in place of the one at an index, which must have
// ended.
func (r *Run) Replace(index int) error {
	at := time.Now()
	instance, err := r.Fleet.Replace(index)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append(r.members, member{Instance: instance, from: at})
	return nil
}

// SendCrashingRequest sends a request that crashes the target that runs it, and
// records the call. All such requests have the same body and so the same fingerprint.
func (r *Run) SendCrashingRequest(ctx context.Context, client *caller.Client, pool, id string, deadline time.Duration) {
	call := load.Call{Pool: pool, RequestKind: load.Lookup, Stream: -1, Scheduled: time.Now()}
	call.RequestID = id
	request := load.NewRequest(pool, load.Lookup, []byte("crash"), deadline)
	request.Header.Set(standin.HeaderFault, string(standin.FaultCrash))
	call.Send(ctx, client, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, call)
}

// Context returns the context of Execute, for the calls of steps.
func (r *Run) Context() context.Context { return r.context }
