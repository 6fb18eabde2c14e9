package load

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Call is one request and its outcome as its caller saw it.
type Call struct {
	checker.Call
	Pool string
	// RequestKind is the kind of the request. The embedded Kind is that of a refusal.
	RequestKind Kind
	// Stream is the index in Options.Streams, Arrival the index in its trace.
	Stream, Arrival int
	// Scheduled is the arrival time, at which the request was due.
	Scheduled time.Time
	// Late is true if a response came after the deadline, counted from Scheduled.
	Late bool
	// Instance is the identifier of the instance that forwarded the response. Empty
	// without a response.
	Instance string
}

// Latency returns the time from the scheduled arrival to the outcome. It includes
// the delay of a request that is sent late.
func (c *Call) Latency() time.Duration { return c.End.Sub(c.Scheduled) }

// OK reports whether the caller got a response with status 200 in time.
func (c *Call) OK() bool {
	return c.Outcome == checker.Responded && c.Status == http.StatusOK && !c.Late
}

// Send sends the request r with c.RequestID, waits for the outcome and records it
// in c. c.Scheduled must be set if the request has a deadline.
func (c *Call) Send(ctx context.Context, client *caller.Client, r *caller.Request) {
	c.Idempotent = r.Idempotent
	r.Header.Set(wire.HeaderRequestID, c.RequestID)
	c.Start = time.Now()
	response, err := client.Do(ctx, r)
	c.End = time.Now()
	if err != nil {
		c.recordError(err)
		return
	}
	c.Outcome, c.Status, c.Instance = checker.Responded, response.Status, response.Instance
	c.ResponseCorrect = response.Header.Get(wire.HeaderRequestID) == c.RequestID && responseMatches(response, c.RequestID, r.Body)
	c.Late = r.Deadline > 0 && c.End.Sub(c.Scheduled) > r.Deadline
}

// responseMatches reports whether the response body is the one that a fake target
// sends for the request: the target's name, the request identifier and the request
// body, or, with status 500, the target's failure message.
func responseMatches(response *caller.Response, id string, body []byte) bool {
	text := string(response.Body)
	if response.Status == http.StatusInternalServerError && strings.HasSuffix(text, " fails\n") {
		return strings.Count(text, "\n") == 1
	}
	_, rest, found := strings.Cut(text, " ")
	return found && rest == id+"\n"+string(body)
}

// recordError records a refusal, or a failure for any other error, which includes a
// *caller.Error that wraps a refusal. A failed request counts as possibly run unless
// the client knows that it has not run.
func (c *Call) recordError(err error) {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		var callerErr *caller.Error
		if !errors.As(err, &callerErr) {
			c.Outcome, c.Kind, c.Execution, c.Reason = checker.Refused, refused.Kind, refused.Execution, refused.Reason
			return
		}
	}
	c.Outcome, c.Execution, c.Reason = checker.Failed, refusal.MayHaveRun, err.Error()
	var callerErr *caller.Error
	if errors.As(err, &callerErr) && !callerErr.MayHaveRun {
		c.Execution = refusal.NotRun
	}
}
