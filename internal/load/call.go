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

// Call is one request and what its caller got.
type Call struct {
	checker.Call
	Pool string
	// RequestKind is the kind of request; Kind is that of a refusal.
	RequestKind Kind
	// Stream and Arrival are positions in Options.Streams and its trace.
	Stream, Arrival int
	// Scheduled is the time of arrival, from which latency runs.
	Scheduled time.Time
	// Late says that an answer came after the deadline.
	Late bool
	// Instance passed the answer on. Empty without an answer.
	Instance string
}

// Latency runs from the scheduled arrival, so that a delayed sender counts.
func (c *Call) Latency() time.Duration { return c.End.Sub(c.Scheduled) }

// OK reports whether a target answered with success in time.
func (c *Call) OK() bool {
	return c.Outcome == checker.Responded && c.Status == http.StatusOK && !c.Late
}

// Send sends a request and fills in what the caller got.
func (c *Call) Send(ctx context.Context, client *caller.Client, r *caller.Request) {
	c.Idempotent = r.Idempotent
	r.Header.Set(wire.HeaderRequestID, c.RequestID)
	c.Start = time.Now()
	answer, err := client.Do(ctx, r)
	c.End = time.Now()
	if err != nil {
		c.recordError(err)
		return
	}
	c.Outcome, c.Status, c.Instance = checker.Responded, answer.Status, answer.Instance
	c.ResponseCorrect = answer.Header.Get(wire.HeaderRequestID) == c.RequestID && responseMatches(answer, c.RequestID, r.Body)
	c.Late = r.Deadline > 0 && c.End.Sub(c.Scheduled) > r.Deadline
}

// responseMatches reports whether the body is what a stand-in target sends for the request:
// its name, the identifier and the request's body, or its complaint.
func responseMatches(response *caller.Response, id string, body []byte) bool {
	text := string(response.Body)
	if response.Status == http.StatusInternalServerError && strings.HasSuffix(text, " fails\n") {
		return strings.Count(text, "\n") == 1
	}
	_, rest, found := strings.Cut(text, " ")
	return found && rest == id+"\n"+string(body)
}

func (c *Call) recordError(err error) {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		var broken *caller.Error
		if !errors.As(err, &broken) {
			c.Outcome, c.Kind, c.Execution, c.Reason = checker.Refused, refused.Kind, refused.Execution, refused.Reason
			return
		}
	}
	c.Outcome, c.Execution, c.Reason = checker.Failed, refusal.MayHaveRun, err.Error()
	var broken *caller.Error
	if errors.As(err, &broken) && !broken.MayHaveRun {
		c.Execution = refusal.NotRun
	}
}
