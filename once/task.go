package once

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/defaults"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// tickInterval is the time between two prunings of an idle ledger.
const tickInterval = time.Second

// TaskOptions configure a Task.
type TaskOptions struct {
	// Ledger is owned by the task from now on. Required.
	Ledger *Ledger
	// Now returns the time since the instance's start on a monotonic clock. Required.
	Now func() time.Duration
	// Owners reaches the other incarnations. Required for Resolve.
	Owners Owners
	// SettleTimeout bounds the question to another incarnation. Default 500 ms.
	SettleTimeout time.Duration
}

// Task owns a Ledger. All methods may be called by any goroutine.
type Task struct {
	options     TaskOptions
	incarnation Incarnation
	validity    time.Duration
	loop        *owner.Loop
	waiters     waiters // owned by Run
}

// NewTask returns a task; Run makes it work.
func NewTask(o TaskOptions) *Task {
	defaults.Positive(&o.SettleTimeout, 500*time.Millisecond)
	return &Task{options: o, incarnation: o.Ledger.Incarnation(), validity: o.Ledger.Validity(),
		loop: owner.New(o.Now), waiters: make(waiters)}
}

// Run handles messages until the context ends.
func (t *Task) Run(ctx context.Context) { t.loop.Run(ctx, tickInterval, t.options.Ledger.Tick) }

// Incarnation returns the identifier in the tickets.
func (t *Task) Incarnation() Incarnation { return t.incarnation }

// Validity returns the time from a ticket's issue to its expiry.
func (t *Task) Validity() time.Duration { return t.validity }

// Issue returns new tickets; see Ledger.Issue.
func (t *Task) Issue(ctx context.Context, count int) ([]string, error) {
	return owner.Ask(ctx, t.loop, func(now time.Duration) []string { return t.options.Ledger.Issue(now, count) })
}

// Settle answers another instance; see Ledger.Settle.
func (t *Task) Settle(ctx context.Context, ticket string) (Settlement, error) {
	return owner.Ask(ctx, t.loop, func(now time.Duration) Settlement { return t.options.Ledger.Settle(now, ticket) })
}

// Resolve answers a request for which Begin found FaultForeign.
func (t *Task) Resolve(ctx context.Context, ticket string, f Fingerprint) Resolution {
	ctx, cancel := context.WithTimeout(ctx, t.options.SettleTimeout)
	defer cancel()
	return Resolve(ctx, t.options.Owners, ticket, f)
}

// Finish records the end of a started request and wakes those that wait for it.
// It must be called exactly once for each StateStarted.
func (t *Task) Finish(serial uint64, r Result) {
	t.loop.Post(func(now time.Duration) {
		t.options.Ledger.Finish(now, serial, r)
		t.waiters.wake(serial)
	})
}
