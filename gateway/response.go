package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// response is what a caller gets.
type response struct {
	status int
	header http.Header // of a target's answer, nil for own ones
	body   []byte
	// retryAfter is set on refusals that state that the request did not run.
	retryAfter time.Duration
	outcome    outcome
}

// outcome names how a request ended, for logs and metrics.
type outcome string

// Outcomes of requests.
const (
	outcomeServed      outcome = "served"           // the target's success
	outcomeTargetError outcome = "target-error"     // the target's own failure
	outcomeNoConfig    outcome = "no-configuration" // not run
	outcomeNoRoute     outcome = "no-route"
	outcomeNoTarget    outcome = "no-target"       // not run
	outcomeNoRoom      outcome = "no-room"         // not run
	outcomeLate        outcome = "late"            // not run, no target could answer in time
	outcomeSuspect     outcome = "suspected-crash" // not run, it took down several targets
	outcomeBroken      outcome = "broken"          // may have run, the answer was lost or spoiled
	outcomeTimeout     outcome = "timeout"         // may have run
	outcomeCallerGone  outcome = "caller-gone"
	outcomeBadRequest  outcome = "bad-request"
	outcomeTooLarge    outcome = "too-large"
	outcomeSlowBody    outcome = "slow-body" // not run
	outcomeStopped     outcome = "stopped"   // the process ends
)

// hopByHopHeaders concern one connection only, beside those that net/http
// removes itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length"}

// newRefusal returns a refusal that promises that the request never runs.
func newRefusal(o outcome, retryAfter time.Duration) *response {
	return &response{status: http.StatusServiceUnavailable, retryAfter: max(retryAfter, time.Millisecond), outcome: o}
}

// newFailure returns a failure that promises nothing.
func newFailure(status int, o outcome) *response { return &response{status: status, outcome: o} }

func (g *Gateway) writeResponse(w http.ResponseWriter, x *exchange, a *response) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // net/http would guess one
	}
	if x.id != "" {
		h.Set(g.options.Dialect.RequestID, x.id)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	if x.caller.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, x.writeErr = w.Write(a.body)
	x.response = a
}
