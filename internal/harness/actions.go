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

// Edit publishes a change of the tables.
func (r *Run) Edit(change func(*tables.Document)) {
	at := time.Now()
	version := r.Fleet.Edit(change)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.edits = append(r.edits, checker.Edit{Version: version, At: at})
}

// SetClosed closes a route with a reason, or opens it with an empty one.
func (r *Run) SetClosed(route, reason string) {
	r.Edit(func(d *tables.Document) {
		for i := range d.Routes {
			if d.Routes[i].Name == route {
				d.Routes[i].Closed = reason
			}
		}
	})
}

// DrainInTables marks a target as draining in the tables.
func (r *Run) DrainInTables(t *testbed.Target) {
	r.left(t)
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

// AnnounceDraining makes a target announce that it is draining.
func (r *Run) AnnounceDraining(t *testbed.Target) {
	r.left(t)
	t.Drain()
}

func (r *Run) left(t *testbed.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, checker.Leaving{Target: t.Name, At: time.Now()})
	r.stops++
}

// Stop stops the instance at a place as planned and waits for its end.
func (r *Run) Stop(place int) error {
	instance := r.Fleet.Instances()[place]
	r.ended(instance)
	err := instance.StopAndWait()
	r.Fleet.Unlist(instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops++
	var cut *dogwoodroute.AbortedRequestsError
	if errors.As(err, &cut) {
		r.cut += int(cut.Count)
		return nil
	}
	return err
}

// Kill ends the instance at a place at once, as a crash does.
func (r *Run) Kill(place int) {
	instance := r.Fleet.Instances()[place]
	r.ended(instance)
	_ = instance.Kill() // cut requests belong to a crash
	r.Fleet.Unlist(instance)
}

func (r *Run) ended(instance *testbed.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.members {
		if r.members[i].Instance == instance {
			r.members[i].until = time.Now()
		}
	}
}

// Replace starts an instance in the place of one that has ended.
func (r *Run) Replace(place int) error {
	at := time.Now()
	instance, err := r.Fleet.Replace(place)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append(r.members, member{Instance: instance, from: at})
	return nil
}

// SendCrashingRequest sends a request that crashes the target that runs it. The body,
// and so its fingerprint, is the same each time.
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

// Context ends with the run.
func (r *Run) Context() context.Context { return r.context }
