package relay

import (
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Response is the answer of an instance without its body.
type Response struct {
	// Status is the status for the caller. Header is that of a target's response.
	Status    int
	Header    http.Header
	BodyBytes int64
	// TargetID and TargetStartUnixMS name the target that gave the response, empty and 0 if
	// none did.
	TargetID          string
	TargetStartUnixMS int64
	// Outcome is how the request ended, as in the log of the instance.
	Outcome string
	// RetryAfter is set on refusals: when the caller should return.
	RetryAfter time.Duration
	// NotRun is true if the request has not run and will not.
	NotRun bool
	// Unable is true if the instance cannot serve the request for a reason that need not hold
	// at others: it reaches no target either, stops, or has an older configuration. NotRun is
	// true then.
	Unable bool
}

func (r *Response) message() *peerapi.RelayResponseHead {
	return &peerapi.RelayResponseHead{Status: uint32(r.Status), Headers: headerMessages(r.Header), BodyBytes: uint64(r.BodyBytes),
		Outcome: r.Outcome, RetryAfterUs: microseconds(r.RetryAfter), NotRun: r.NotRun, Unable: r.Unable,
		Target: r.TargetID, TargetStartMs: r.TargetStartUnixMS}
}

func responseFromMessage(m *peerapi.RelayResponseHead) *Response {
	return &Response{Status: int(m.GetStatus()), Header: headerFromMessages(m.GetHeaders()), BodyBytes: int64(m.GetBodyBytes()),
		Outcome: m.GetOutcome(), RetryAfter: duration(m.GetRetryAfterUs()), NotRun: m.GetNotRun() || m.GetUnable(), Unable: m.GetUnable(),
		TargetID: m.GetTarget(), TargetStartUnixMS: m.GetTargetStartMs()}
}
