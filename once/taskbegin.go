package once

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/owner"
)

// pendingDecision is a decision and, while the request is running, a channel that is
// closed when it ends.
type pendingDecision struct {
	decision Decision
	ended    chan struct{}
}

// Begin decides whether a request may run; see Ledger.Begin. If the request is
// running already, Begin waits for its end and returns the state after it. It
// returns StateRunning if the context or Run ends first or too many calls wait
// already. After an error, the state of the ticket is not known: the request
// must not be run, and must be refused as one that may have run.
func (t *Task) Begin(ctx context.Context, ticket string, f Fingerprint) (Decision, error) {
	p, err := owner.Call(ctx, t.loop, func(now time.Duration) pendingDecision { return t.begin(now, ticket, f) })
	if err != nil || p.ended == nil {
		return p.decision, err
	}
	select {
	case <-p.ended:
	case <-t.loop.Done():
		return p.decision, nil
	case <-ctx.Done():
		t.loop.Post(func(time.Duration) { t.waiters.remove(p.decision.Serial, p.ended) })
		return p.decision, nil
	}
	// The ticket has been used, so this call cannot start the request.
	return owner.Call(ctx, t.loop, func(now time.Duration) Decision { return t.options.Ledger.Begin(now, ticket, f) })
}

func (t *Task) begin(now time.Duration, ticket string, f Fingerprint) pendingDecision {
	p := pendingDecision{decision: t.options.Ledger.Begin(now, ticket, f)}
	if p.decision.State == StateRunning {
		p.ended = t.waiters.add(p.decision.Serial)
	}
	return p
}
