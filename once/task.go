package once

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// tickInterval is the interval at which an idle ledger removes what is no longer needed.
const tickInterval = time.Second

// TaskOptions configures a Task.
type TaskOptions struct {
	// Ledger must not be used by others after NewTask. Required.
	Ledger *Ledger
	// Now returns the time since the start of the instance on a monotonic clock.
	// Required.
	Now func() time.Duration
	// Owners communicates with other incarnations. Required for Resolve.
	Owners Owners
	// SettleTimeout bounds the call to another incarnation. Default 500 ms.
	SettleTimeout time.Duration
}

// Task runs the goroutine that owns a Ledger. Its methods are safe for concurrent
// use.
type Task struct {
	options     TaskOptions
	incarnation Incarnation
	validity    time.Duration
	loop        *owner.Loop
	waiters     waiters // owned by Run
}

// NewTask returns a task. Methods that use the ledger wait until Run is called.
func NewTask(o TaskOptions) *Task {
	defaults.Positive(&o.SettleTimeout, 500*time.Millisecond)
	return &Task{options: o, incarnation: o.Ledger.Incarnation(), validity: o.Ledger.Validity(),
		loop: owner.New(o.Now), waiters: make(waiters)}
}

// Run processes events until the context ends. It must be called once.
func (t *Task) Run(ctx context.Context) { t.loop.Run(ctx, tickInterval, t.options.Ledger.Tick) }

// Incarnation returns the identifier that the tickets contain.
func (t *Task) Incarnation() Incarnation { return t.incarnation }

// Validity returns the time from the issue of a ticket to its expiry.
func (t *Task) Validity() time.Duration { return t.validity }

// Issue returns the texts of new tickets; see Ledger.Issue. An error means that
// the context or Run has ended.
func (t *Task) Issue(ctx context.Context, count int) ([]string, error) {
	return owner.Call(ctx, t.loop, func(now time.Duration) []string { return t.options.Ledger.Issue(now, count) })
}

// Settle handles a call of another instance; see Ledger.Settle. After an error,
// the ticket may have been voided or not.
func (t *Task) Settle(ctx context.Context, ticket string) (Settlement, error) {
	return owner.Call(ctx, t.loop, func(now time.Duration) Settlement { return t.options.Ledger.Settle(now, ticket) })
}

// Resolve returns the reply to a request for which Begin returned FaultForeign.
func (t *Task) Resolve(ctx context.Context, ticket string, f Fingerprint) Resolution {
	ctx, cancel := context.WithTimeout(ctx, t.options.SettleTimeout)
	defer cancel()
	return Resolve(ctx, t.options.Owners, ticket, f)
}

// Finish records the end of a started request and wakes the calls of Begin that
// wait for it. It must be called exactly once for each StateStarted. It returns
// without waiting for the effect.
func (t *Task) Finish(serial uint64, r Result) {
	t.loop.Post(func(now time.Duration) {
		t.options.Ledger.Finish(now, serial, r)
		t.waiters.wake(serial)
	})
}
