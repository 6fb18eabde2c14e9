package gateway

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/poison"
)

const (
	// defaultTimeout is the time given to a request without a deadline on a
	// route without a time-out.
	defaultTimeout = 10 * time.Second
	// defaultRetryAfter is when a caller should come back to an instance that has
	// just started: peers or the store answer within a fraction of a second.
	defaultRetryAfter = 300 * time.Millisecond
	// defaultConfigWait is Options.ColdHold. An instance has a configuration 0.06 to
	// 0.31 s after its start when 169 start together.
	defaultConfigWait = 250 * time.Millisecond
	// configWaitShare is the part of the caller's time that waiting for the first
	// configuration may take at most, so that enough is left to be served.
	configWaitShare = 0.15
)

// exchange is one request of a caller. Its own goroutine owns it.
type exchange struct {
	gateway *Gateway
	caller  *http.Request
	// controller is the caller's.
	controller *http.ResponseController
	id         string
	arrived    time.Duration
	view       *catalog.View
	request    placement.Request
	body       []byte
	bodyBytes  int64
	attempts   []*attempt
	response   *response
	writeErr   error
	// lastReports are the load reports of the last search that found no target.
	lastReports []placement.Report
	// cachedFingerprint is the request's fingerprint once identified is set.
	cachedFingerprint poison.Fingerprint
	fingerprintKnown  bool
	// deadline is when the request gets its final answer.
	deadline time.Duration
}

// serve returns the answer, or nil when the caller has gone.
func (x *exchange) serve() *response {
	g := x.gateway
	x.view = g.options.View()
	if x.view.Config == nil {
		x.awaitConfig()
	}
	if x.view.Config == nil {
		return newRefusal(outcomeNoConfig, defaultRetryAfter)
	}
	if limit := x.view.Config.Limits.HeaderBytes; limit > 0 && headerBytes(x.caller) > limit {
		return &response{status: http.StatusRequestHeaderFieldsTooLarge, outcome: outcomeTooLarge}
	}
	path, _, _ := strings.Cut(x.caller.RequestURI, "?")
	route := x.view.Routes.Match(x.caller.Host, path)
	if route == nil {
		return &response{status: http.StatusNotFound, outcome: outcomeNoRoute}
	}
	x.setDeadline(route)
	defer x.releaseBody()
	if refused := x.readBody(); refused != nil {
		return refused
	}
	left, err := x.blockedFor(x.caller.Context())
	if err != nil {
		return x.interrupted()
	}
	if left > 0 {
		return newRefusal(outcomeSuspect, left)
	}
	service, known, err := g.scheduler.admit(x.caller.Context(), route)
	if err != nil {
		return x.interrupted()
	}
	x.request.Service = service
	if !known {
		return newRefusal(outcomeNoTarget, defaultRetryAfter)
	}
	ctx, cancel := context.WithTimeout(x.caller.Context(), x.deadline-g.options.Now())
	defer cancel()
	return x.forward(ctx)
}

// awaitConfig holds a request that came before the configuration was known. A
// refusal would cost the caller a repeat and a new connection.
func (x *exchange) awaitConfig() {
	hold := x.gateway.options.ConfigWait
	if patience, stated := x.callerTimeout(); stated {
		hold = min(hold, time.Duration(configWaitShare*float64(patience)))
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-x.gateway.configured:
	case <-timer.C:
	case <-x.caller.Context().Done():
	}
	x.view = x.gateway.options.View()
}

// callerTimeout returns how long the caller says that it waits.
func (x *exchange) callerTimeout() (patience time.Duration, stated bool) {
	ms, err := strconv.ParseFloat(x.caller.Header.Get(x.gateway.options.Dialect.Deadline), 64)
	if err != nil || ms < 0 || ms >= 1e9 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// setDeadline derives the times of the request from the caller's deadline and
// the route's time-out.
func (x *exchange) setDeadline(route *catalog.Route) {
	patience, stated := x.callerTimeout()
	if !stated {
		patience = math.MaxInt64
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	if patience == math.MaxInt64 {
		patience = defaultTimeout
	}
	x.deadline = x.arrived + patience
	x.request = placement.Request{Route: route, Arrived: x.arrived, Deadline: x.deadline}
}

// interrupted returns the answer after the caller left or the process stopped
// before anything was sent.
func (x *exchange) interrupted() *response {
	if x.caller.Context().Err() != nil {
		return nil
	}
	return newRefusal(outcomeStopped, defaultRetryAfter)
}

// headerBytes returns the length of the request line and the header fields.
func headerBytes(r *http.Request) int {
	const perField = len(": \r\n")
	n := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("Host") + len(r.Host) + perField
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + perField
		}
	}
	return n
}
