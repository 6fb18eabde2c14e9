package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

// response is the response to a caller.
type response struct {
	status int
	header http.Header      // set only for a response forwarded from a target
	body   *segments.Buffer // nil if it is empty
	memory *bodyMemory      // of the body, nil if there is none
	// target is the one that gave the response, without an ID if none did.
	target catalog.Incarnation
	// retryAfter is set on refusals, which state that the request did not run.
	retryAfter time.Duration
	outcome    outcome
}

// outcome is how a request ended, as written to logs and metrics.
type outcome string

// Outcomes of requests.
const (
	outcomeServed      outcome = "served"           // response of a target, status below 500
	outcomeTargetError outcome = "target-error"     // response of a target, status 500 or above
	outcomeNoConfig    outcome = "no-configuration" // not run
	outcomeNoRoute     outcome = "no-route"
	outcomeNoTarget    outcome = "no-target"       // not run
	outcomeUnreachable outcome = "unreachable"     // not run, no target of the service answers this instance, nor others that were asked
	outcomeNoRoom      outcome = "no-room"         // not run, no capacity at targets or no memory for the body
	outcomeTurnedAway  outcome = "turned-away"     // not run, the service is short of room for requests that are more urgent or need it for less time
	outcomeLate        outcome = "late"            // not run, deadline reached before a target took it
	outcomeSuspect     outcome = "suspected-crash" // not run, blocked because it crashed several targets
	outcomeBroken      outcome = "broken"          // may have run, no valid response of a target
	outcomeTimeout     outcome = "timeout"         // may have run
	outcomeCallerGone  outcome = "caller-gone"
	outcomeBadRequest  outcome = "bad-request"
	outcomeTooLarge    outcome = "too-large"
	outcomeSlowBody    outcome = "slow-body" // not run
	outcomeStopped     outcome = "stopped"   // not run, the process is stopping
)

// hopByHopHeaders are removed from forwarded responses: they apply to a single
// connection, or net/http sets them itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length"}

// newRefusal returns a 503 response. Callers take its Retry-After header as a
// guarantee that the request has not run and will not run.
func newRefusal(o outcome, retryAfter time.Duration) *response {
	return &response{status: http.StatusServiceUnavailable, retryAfter: max(retryAfter, time.Millisecond), outcome: o}
}

// newFailure returns a failure without that guarantee: the request may have run.
func newFailure(status int, o outcome) *response { return &response{status: status, outcome: o} }

// writeResponse writes the response and records it in the exchange for the log.
func (g *Gateway) writeResponse(w http.ResponseWriter, x *exchange, resp *response) {
	h := w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	if x.id != "" {
		h.Set(g.options.Dialect.RequestID, x.id)
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	if x.caller.Method != http.MethodHead && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.body.Len(), 10))
	}
	w.WriteHeader(resp.status)
	var end deliveryEnd
	if end, x.writeErr = x.deliver(w, resp); end != "" {
		g.options.Metrics.Delivery(string(end))
	}
	x.response = resp
}
