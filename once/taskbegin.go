package once

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// pendingDecision is a decision and, while the request runs, the channel of its end.
type pendingDecision struct {
	decision Decision
	ended    chan struct{}
}

// Begin asks to start a request; see Ledger.Begin. While an earlier send of the
// same request runs, Begin waits for its end and returns what is then known;
// StateRunning is returned when the context ends first or too many wait. An
// error means that nothing is known of the ticket: it is refused as "may have
// run", and must not be run.
func (t *Task) Begin(ctx context.Context, ticket string, f Fingerprint) (Decision, error) {
	b, err := owner.Ask(ctx, t.loop, func(now time.Duration) pendingDecision { return t.begin(now, ticket, f) })
	if err != nil || b.ended == nil {
		return b.decision, err
	}
	select {
	case <-b.ended:
	case <-t.loop.Done():
		return b.decision, nil
	case <-ctx.Done():
		t.loop.Post(func(time.Duration) { t.waiters.remove(b.decision.Serial, b.ended) })
		return b.decision, nil
	}
	// The ticket is used, so this cannot start it.
	return owner.Ask(ctx, t.loop, func(now time.Duration) Decision { return t.options.Ledger.Begin(now, ticket, f) })
}

func (t *Task) begin(now time.Duration, ticket string, f Fingerprint) pendingDecision {
	b := pendingDecision{decision: t.options.Ledger.Begin(now, ticket, f)}
	if b.decision.State == StateRunning {
		b.ended = t.waiters.add(b.decision.Serial)
	}
	return b
}
