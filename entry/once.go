package entry

import (
	"context"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Once makes non-idempotent requests run at most once per ticket.
type Once interface {
	// Begin decides on a request before its first attempt. It must return when the
	// context ends.
	Begin(ctx context.Context, ticket string, fingerprint Fingerprint) OnceDecision
	// Void invalidates a ticket that is not yet used, and returns whether a request
	// with the ticket may have run.
	Void(ctx context.Context, ticket string) refusal.Execution
}

// OnceDecision makes the request path refuse the request, replay a recorded
// response or, if neither Refusal nor Replay is set, run the request.
type OnceDecision struct {
	// Refusal, if set, is sent to the caller.
	Refusal *refusal.Refusal
	// Replay, if set, is the recorded response of an earlier run.
	Replay *RecordedResponse
	// Finish is called exactly once when the request has ended. It is required if
	// Refusal and Replay are nil.
	Finish func(OnceResult)
}

// OnceResult is the result of running a non-idempotent request.
type OnceResult struct {
	// Execution is refusal.NotRun only when no target has run the request and none will.
	Execution refusal.Execution
	// Response is the target's whole response. It is nil if there was none, or if it
	// was truncated or streamed: responses of BufferedResponseBytes and more are
	// streamed, and smaller ones may be while the memory limit is reached.
	Response *RecordedResponse
}

// RecordedResponse is a target's whole response. It must not be modified.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
