package dispatch

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// perform passes each action to its handler or starts its probe, and drops the
// calls whose handlers do not read their actions. The slice is read before the
// scheduler is used again, because the scheduler reuses it.
func (t *Task) perform(ctx context.Context, actions []Action) {
	for _, action := range actions {
		if action.Kind == ActionProbe {
			t.probes.Go(func() { t.runProbe(ctx, action) })
			continue
		}
		t.deliver(action)
	}
	for len(t.overflowed) > 0 {
		call := t.overflowed[0]
		t.overflowed = t.overflowed[1:]
		if t.calls[call.id] == call {
			t.perform(ctx, t.dropCall(t.options.Now(), call))
		}
	}
}

// deliver passes an action to its handler without blocking. The channel has room
// for all actions of a request; if it is full, the call is marked to be dropped.
func (t *Task) deliver(a Action) {
	call := t.calls[a.Request]
	if call == nil {
		return
	}
	select {
	case call.actions <- a:
	default:
		t.overflowed = append(t.overflowed, call)
	}
}

// dropCall removes a call and cancels its request. Attempts whose ActionSend the
// handler did not read have not started, so they are ended here; otherwise their
// slots would leak.
func (t *Task) dropCall(now time.Duration, c *Call) []Action {
	delete(t.calls, c.id)
	s := t.options.Scheduler
	actions := append([]Action(nil), s.Cancel(now, c.id)...)
	for {
		select {
		case a := <-c.actions:
			if a.Kind == ActionSend {
				actions = append(actions, s.Ended(now, a.Attempt, End{Outcome: balancer.OutcomeNotSent})...)
			}
		default:
			return actions
		}
	}
}

// runProbe probes a target and posts the result. It runs in its own goroutine.
func (t *Task) runProbe(ctx context.Context, a Action) {
	sent := t.options.Now()
	result := t.options.Probe(ctx, a.Target, a.Address)
	result.Target = a.Target
	if result.Sent == 0 {
		result.Sent = sent
	}
	t.post(func(now time.Duration) []Action { return t.options.Scheduler.Probed(now, result) })
}
