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

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// outgoing builds the attempt that an action asks for. Headers of our own
// prefix are written anew, so that no caller can imitate an instance.
func (e *exchange) outgoing(a dispatch.Action) *transport.Attempt {
	header := make(http.Header, len(e.request.Header)+3)
	for name, values := range e.request.Header {
		if !wire.HasPrefix(name) {
			header[name] = values
		}
	}
	removeHop(header)
	header.Del("Expect") // the whole body has arrived
	values := []string{e.id, strconv.Itoa(a.AttemptNumber)}
	header[wire.HeaderRequestID], header[wire.HeaderAttempt] = values[0:1:1], values[1:2:2]
	wire.SetDeadline(header, e.decision.Deadline-e.server.options.Now())
	return &transport.Attempt{Target: a.Target, Address: a.Address, Method: e.request.Method,
		URI: requestURI(e.request), Host: e.request.Host, Header: header, Body: e.body, Expires: a.Expires}
}

// requestURI returns path and query as the caller wrote them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller sent an absolute URI
}

// removeHop removes the headers that concern one connection.
func removeHop(h http.Header) {
	transport.RemoveNamedByConnection(h)
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// copyHeader copies a target's headers to the caller's answer. Headers of our
// own prefix are left out, so that a target cannot imitate an instance.
func copyHeader(to, from http.Header) {
	removeHop(from)
	for name, values := range from {
		if !wire.HasPrefix(name) {
			to[name] = values
		}
	}
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
	to[wire.HeaderAnsweredBy] = answeredByTarget
}

var answeredByTarget = []string{wire.AnsweredByTarget}

// answerOf reads what a target said about the request and itself.
func answerOf(r *http.Response) dispatch.Response {
	answer := dispatch.Response{Outcome: balancer.OutcomeOK, Report: transport.ReportOf(r.Header)}
	switch {
	case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(wire.HeaderTargetExecution) == wire.ExecutionNotRun:
		answer.Outcome = balancer.OutcomeShed
	case r.StatusCode >= http.StatusInternalServerError:
		answer.Outcome = balancer.OutcomeError
	}
	return answer
}

// attemptLimit is the time after which an attempt is ended by the transport.
func (e *exchange) attemptLimit() time.Duration {
	return e.decision.Deadline - e.server.options.Now() + deadlineGrace
}
