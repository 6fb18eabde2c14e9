package entry

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Guard keeps requests that are suspected of crashing targets from running.
type Guard interface {
	// Check is called once before the request is dispatched to its pool. A non-nil
	// refusal is sent to the caller.
	Check(ctx context.Context, fingerprint Fingerprint) *refusal.Refusal
	// Admit is called directly before each attempt, by the attempt's goroutine. If
	// it returns a refusal, the attempt is not sent. It must return when the context
	// ends.
	Admit(ctx context.Context, fingerprint Fingerprint, target string) (Permit, *refusal.Refusal)
}

// Permit allows one attempt.
type Permit struct {
	// Deadline is the time on the clock of Options.Now at which the attempt is
	// cancelled. Zero: no limit.
	Deadline time.Duration
	// NewConnection requires a connection that has not served another exchange.
	NewConnection bool
	// Ended, if set, is called exactly once, when the attempt ends. If the target
	// broke the connection, it must return only after peers were notified, so that
	// they know of the crash before the caller can retry the request.
	Ended func(balancer.Outcome)
}
