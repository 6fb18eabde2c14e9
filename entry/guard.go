package entry

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Guard decides whether a request that may crash targets is run.
type Guard interface {
	// Check is called once before the request is handed to its pool. A refusal
	// ends the request.
	Check(ctx context.Context, fingerprint Fingerprint) *refusal.Refusal
	// Admit is called directly before each attempt, by the attempt's goroutine.
	// A refusal means that the attempt must not be sent. It must return when the
	// context ends.
	Admit(ctx context.Context, fingerprint Fingerprint, target string) (Permit, *refusal.Refusal)
}

// Permit allows one attempt.
type Permit struct {
	// Deadline ends the attempt, when above 0, on the clock of Options.Now.
	Deadline time.Duration
	// NewConnection asks for a new connection.
	NewConnection bool
	// Ended is called exactly once when the attempt is over. When the target
	// broke, it returns after peers were told, so that no caller resends before.
	Ended func(balancer.Outcome)
}
