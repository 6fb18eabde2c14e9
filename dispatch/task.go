package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// TickInterval is the interval between the ticks of a Scheduler that is not idle.
const TickInterval = 5 * time.Millisecond

// IdleTickInterval is the interval between the ticks of an idle Scheduler. It is
// below half of the longest time step that counts for the probe budget (250 ms).
// At 5 ms, 50 idle pools use 6.6% of a core, four times the CPU budget of control
// work.
const IdleTickInterval = 100 * time.Millisecond

// actionBuffer is the capacity of a call's action channel. It holds all actions
// of a request: each attempt has one ActionSend and at most one other action, and
// a request has at most one refusal.
const actionBuffer = 2*tables.MaxAttemptsLimit + 1

// eventBuffer is the capacity of a task's event channel. Handlers block while it
// is full.
const eventBuffer = 256

// Prober probes a target. It is called in its own goroutine and must return when
// the context ends. The Task sets the Target of the result, and its Sent if that
// is zero.
type Prober func(ctx context.Context, target, address string) balancer.ProbeResult

// TaskOptions configure a Task.
type TaskOptions struct {
	// Scheduler must not be used by anything but the task. Required.
	Scheduler *Scheduler
	// Now returns the time since the instance's start. It must be safe for
	// concurrent use. Required.
	Now func() time.Duration
	// Probe sends the probes. It must be safe for concurrent use. Required.
	Probe Prober
}

// event applies an event to the scheduler and returns the resulting actions.
type event func(now time.Duration) []Action

// Task runs a Scheduler. Its methods are safe for concurrent use. Run must be
// started before or soon after the first call of another method, because the
// others block while the event channel is full.
type Task struct {
	options    TaskOptions
	events     chan event
	done       chan struct{}
	nextID     atomic.Uint64
	calls      map[RequestID]*Call // owned by Run
	overflowed []*Call             // calls to drop; owned by Run, see deliver
	probes     sync.WaitGroup
	stale      atomic.Bool // copy of the scheduler's stale state
}

// NewTask returns a Task. It handles no events before Run is called.
func NewTask(o TaskOptions) *Task {
	return &Task{options: o, events: make(chan event, eventBuffer),
		done: make(chan struct{}), calls: make(map[RequestID]*Call)}
}

// Run handles events and ticks until the context ends, then waits until all
// probes have returned. It must be called once.
func (t *Task) Run(ctx context.Context) {
	defer t.probes.Wait()
	defer close(t.done)
	interval := TickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		idle := false // events keep a short interval, so that frequent requests do not reset the timer
		select {
		case handle := <-t.events:
			t.perform(ctx, handle(t.options.Now()))
			idle = interval == IdleTickInterval && t.options.Scheduler.Idle()
		case <-ticker.C:
			t.perform(ctx, t.options.Scheduler.Tick(t.options.Now()))
			idle = t.options.Scheduler.Idle()
		case <-ctx.Done():
			return
		}
		_, stale := t.options.Scheduler.Stale()
		t.stale.Store(stale)
		if next := tickInterval(idle); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

func tickInterval(idle bool) time.Duration {
	if idle {
		return IdleTickInterval
	}
	return TickInterval
}

// Stale reports whether new requests are refused because the process was paused.
func (t *Task) Stale() bool { return t.stale.Load() }

// post queues an event. It blocks while the event channel is full and drops the
// event if the task has ended.
func (t *Task) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Submit passes a request to the scheduler and returns the handler's Call, which
// must be closed. It replaces the request's ID.
func (t *Task) Submit(r Request) *Call {
	r.ID = RequestID(t.nextID.Add(1))
	call := &Call{task: t, id: r.ID, actions: make(chan Action, actionBuffer)}
	t.post(func(now time.Duration) []Action {
		t.calls[r.ID] = call
		return t.options.Scheduler.Arrive(now, r)
	})
	return call
}

// SetPool replaces the configuration of the pool.
func (t *Task) SetPool(p tables.Pool) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetPool(now, p) })
}

// SetFleet replaces the view of the fleet.
func (t *Task) SetFleet(f Fleet) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetFleet(now, f) })
}

// SetDraining replaces the set of addresses whose targets are known to drain. The
// slice must not be modified afterwards.
func (t *Task) SetDraining(addresses []string) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetDraining(now, addresses) })
}

// Refreshed reports that configuration, peers and target states were refreshed
// before this call. It does not clear a pause that was detected after the call.
func (t *Task) Refreshed() {
	called := t.options.Now()
	t.post(func(now time.Duration) []Action {
		if now-called > maxTickGap {
			return t.options.Scheduler.Tick(now) // the pause began after the call
		}
		if since, _ := t.options.Scheduler.Stale(); since > called {
			return nil
		}
		return t.options.Scheduler.Refreshed(now)
	})
}

// Snapshot returns a snapshot of the scheduler. It returns false if the context
// or the task ended first.
func (t *Task) Snapshot(ctx context.Context) (Snapshot, bool) {
	reply := make(chan Snapshot, 1)
	t.post(func(now time.Duration) []Action {
		reply <- t.options.Scheduler.Snapshot(now)
		return nil
	})
	select {
	case snapshot := <-reply:
		return snapshot, true
	case <-ctx.Done():
	case <-t.done:
	}
	return Snapshot{}, false
}
