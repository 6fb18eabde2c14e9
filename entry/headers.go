package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/transport"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// newAttempt builds the transport attempt for a send action. Headers with
// wire.Prefix are dropped and set again here, so that a caller cannot forge them.
func (e *exchange) newAttempt(a dispatch.Action) *transport.Attempt {
	header := make(http.Header, len(e.request.Header)+4)
	for name, values := range e.request.Header {
		if !wire.HasPrefix(name) {
			header[name] = values
		}
	}
	removeHopHeaders(header)
	header.Del("Expect") // the whole body has arrived
	values := []string{e.id, strconv.Itoa(a.AttemptNumber), a.Target}
	header[wire.HeaderRequestID], header[wire.HeaderAttempt], header[wire.HeaderTarget] = values[0:1:1], values[1:2:2], values[2:3:3]
	wire.SetDeadline(header, e.dispatchRequest.Deadline-e.server.options.Now())
	return &transport.Attempt{Target: a.Target, Address: a.Address, Method: e.request.Method,
		URI: requestURI(e.request), Host: e.request.Host, Header: header, Body: e.body.Segments(), Expires: a.Expires,
		EchoHeader: wire.HeaderRequestID, EchoMayDiffer: true} // recognizes late responses of targets that copy the header
}

// requestURI returns the path and query as received from the caller.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller sent an absolute URI
}

// removeHopHeaders removes the hop-by-hop headers and those that the Connection
// header names.
func removeHopHeaders(h http.Header) {
	transport.RemoveNamedByConnection(h)
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// copyResponseHeader copies a target's headers to the response for the caller.
// Headers with wire.Prefix are left out, so that a target cannot forge them. The
// hop-by-hop headers are removed from the source, too.
func copyResponseHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		if !wire.HasPrefix(name) {
			to[name] = values
		}
	}
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil // prevents net/http from detecting one
	}
	to[wire.HeaderAnsweredBy] = answeredByTarget
}

var answeredByTarget = []string{wire.AnsweredByTarget}

// classifyResponse returns the outcome and the load report in a response head. A
// 503 response marked as "not run" counts as shed, other 5xx responses as errors. So
// does a 421 response with that mark, whose load report is that of another target.
func classifyResponse(r *http.Response) dispatch.Response {
	result := dispatch.Response{Outcome: balancer.OutcomeOK, Report: transport.ReportOf(r.Header)}
	notRun := r.Header.Get(wire.HeaderTargetExecution) == wire.ExecutionNotRun
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest && notRun:
		return dispatch.Response{Outcome: balancer.OutcomeShed}
	case r.StatusCode == http.StatusServiceUnavailable && notRun:
		result.Outcome = balancer.OutcomeShed
	case r.StatusCode >= http.StatusInternalServerError:
		result.Outcome = balancer.OutcomeError
	}
	return result
}

// attemptLimit returns the time after which the transport cancels an attempt.
func (e *exchange) attemptLimit() time.Duration {
	return e.dispatchRequest.Deadline - e.server.options.Now() + deadlineGrace
}
