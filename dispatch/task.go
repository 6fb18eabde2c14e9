package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// TickInterval is the time between two ticks of a Scheduler that is not idle.
const TickInterval = 5 * time.Millisecond

// IdleTickInterval is the time between two ticks of an idle Scheduler. It is
// below half of the longest step that earns budget for probes (250 ms). 50 idle pools
// that ticked every 5 ms took 6.6% of a core, four times the control budget.
const IdleTickInterval = 100 * time.Millisecond

// actionBuffer is the room for actions of one request that its handler has not
// read yet. Each attempt has one ActionSend and at most one other action, and
// a request ends with at most one refusal.
const actionBuffer = 2*tables.MaxMaxAttempts + 1

// eventBuffer is the room for events that the task has not handled yet.
// Handlers wait when it is full.
const eventBuffer = 256

// Prober probes a target. It is called in a goroutine of its own and must
// return when the context ends.
type Prober func(ctx context.Context, target, address string) balancer.ProbeResult

// TaskOptions configure a Task.
type TaskOptions struct {
	// Scheduler is owned by the task from now on. Required.
	Scheduler *Scheduler
	// Now returns the time since the instance's start. Required.
	Now func() time.Duration
	// Probe probes a target. Required.
	Probe Prober
}

// event changes the scheduler and returns what follows from it.
type event func(now time.Duration) []Action

// Task owns a Scheduler. All methods may be called by any goroutine. Run must
// be started before or soon after the first call of another method, because
// the others wait when the event queue is full.
type Task struct {
	options    TaskOptions
	events     chan event
	done       chan struct{}
	nextID     atomic.Uint64
	calls      map[RequestID]*Call // owned by Run
	overflowed []*Call             // owned by Run; see deliver
	probes     sync.WaitGroup
	stale      atomic.Bool // copy of the scheduler's state
}

// NewTask returns a task; Run makes it work.
func NewTask(o TaskOptions) *Task {
	return &Task{options: o, events: make(chan event, eventBuffer),
		done: make(chan struct{}), calls: make(map[RequestID]*Call)}
}

// Run handles events until the context ends and all probes have returned.
func (t *Task) Run(ctx context.Context) {
	defer t.probes.Wait()
	defer close(t.done)
	interval := TickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		idle := false // after an event the next tick is near, so that work in quick succession sets no timers
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

// Stale reports whether new work is refused because the process was paused.
func (t *Task) Stale() bool { return t.stale.Load() }

// post queues an event. It is dropped when the task has ended.
func (t *Task) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Submit hands a request to the scheduler. The request's ID is set here.
func (t *Task) Submit(r Request) *Call {
	r.ID = RequestID(t.nextID.Add(1))
	call := &Call{task: t, id: r.ID, actions: make(chan Action, actionBuffer)}
	t.post(func(now time.Duration) []Action {
		t.calls[r.ID] = call
		return t.options.Scheduler.Arrive(now, r)
	})
	return call
}

// SetPool replaces the pool.
func (t *Task) SetPool(p tables.Pool) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetPool(now, p) })
}

// SetFleet replaces what is known of the instances.
func (t *Task) SetFleet(f Fleet) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetFleet(now, f) })
}

// SetDraining replaces the addresses of the targets that are known to drain.
func (t *Task) SetDraining(addresses []string) {
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.SetDraining(now, addresses) })
}

// Refreshed says that configuration, peers and target states were refreshed
// before this call. It has no effect on a pause that was noticed later.
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

// Snapshot returns the scheduler's state. It reports false when the context or
// the task ended first.
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
