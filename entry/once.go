package entry

import (
	"context"
	"net/http"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Once decides whether a non-idempotent request may run.
type Once interface {
	// Begin is called before the request's first attempt. It must return when
	// the context ends.
	Begin(ctx context.Context, ticket string, fingerprint Fingerprint) OnceDecision
	// Void makes sure that an unused ticket is never used, and says whether its
	// request may have been run.
	Void(ctx context.Context, ticket string) refusal.Execution
}

// OnceDecision is one of: run (Finish), replay a recorded answer, or refuse.
type OnceDecision struct {
	// Refusal refuses the request, when set.
	Refusal *refusal.Refusal
	// Replay is the recorded answer of the run, when set.
	Replay *RecordedResponse
	// Finish is called exactly once when the request is over. Required when
	// Refusal and Replay are nil.
	Finish func(OnceResult)
}

// OnceResult is how a non-idempotent request ended.
type OnceResult struct {
	// Execution is refusal.NotRun only when no target has run the request and none will.
	Execution refusal.Execution
	// Response is the target's whole answer. Nil when there was none, or it was
	// cut or larger than BufferedAnswerBytes.
	Response *RecordedResponse
}

// RecordedResponse is a target's whole answer. It must not be changed.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}
