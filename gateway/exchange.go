package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/segments"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

const (
	// defaultTimeout applies to requests without a deadline on routes without a
	// time-out.
	defaultTimeout = 10 * time.Second
	// defaultRetryAfter is the Retry-After time of refusals without an estimate. It
	// is short, since an instance that has just started gets its configuration
	// from peers or the store within a fraction of a second.
	defaultRetryAfter = 300 * time.Millisecond
	// leavingRetryDelay is the Retry-After time when this instance stops; another one
	// can serve the request at once.
	leavingRetryDelay = time.Millisecond
	// defaultConfigWait is the default of Options.ConfigWait. When 169 instances
	// start together, each has a configuration after 0.06 to 0.31 s.
	defaultConfigWait = 250 * time.Millisecond
	// configWaitShare limits the wait for the first configuration to this part of
	// the caller's time, so that enough is left to serve the request.
	configWaitShare = 0.15
)

// exchange is one request of a caller and its response. The goroutine that handles
// the request owns it.
type exchange struct {
	gateway *Gateway
	caller  *http.Request
	// controller controls the caller's connection.
	controller *http.ResponseController
	id         string
	arrived    time.Duration // since the start of the process, as all times here
	view       *catalog.View
	request    placement.Request
	body       segments.Buffer
	bodyBytes  int64      // the length of body
	memory     memoryHold // of the exchange with the bodies of the request and of responses
	attempts   []*attempt
	response   *response
	writeErr   error
	// lastReports are the load reports of the last selection, if it found no target.
	lastReports []placement.Report
	// cachedIdentity is valid once identityKnown is true.
	cachedIdentity quarantine.Identity
	identityKnown  bool
	// relayed is the request as another instance sent it; nil if it came from its caller.
	relayed *relay.Request
	// counted is true if the request counts as demand for its service, here or at the instance
	// that relayed it.
	counted bool
	// failedTargets is the number of targets with a failure report of the request, as
	// of the last call of blockedFor.
	failedTargets int
	// deadline is when the request gets its final response at the latest.
	deadline time.Duration
}

// serve returns the response, or nil if the caller is gone.
func (x *exchange) serve() *response {
	g := x.gateway
	x.view = g.options.View()
	if g.refusing.Load() {
		return newRefusal(outcomeStopped, leavingRetryDelay)
	}
	if x.view.Config == nil {
		x.awaitConfig()
	}
	if x.view.Config == nil {
		return newRefusal(outcomeNoConfig, defaultRetryAfter)
	}
	header := headerBytes(x.caller)
	if limit := x.view.Config.Limits.HeaderBytes; limit > 0 && header > limit {
		return &response{status: http.StatusRequestHeaderFieldsTooLarge, outcome: outcomeTooLarge}
	}
	if !x.memory.reserve(exchangeOverhead + int64(header)) {
		return newRefusal(outcomeNoRoom, defaultRetryAfter)
	}
	path, _, _ := strings.Cut(x.caller.RequestURI, "?")
	route := x.view.Routes.Match(x.caller.Host, path)
	if route == nil {
		return &response{status: http.StatusNotFound, outcome: outcomeNoRoute}
	}
	x.setDeadline(route)
	x.setRelayedDeadline()
	if g.mayOutliveStop(x.deadline) {
		return newRefusal(outcomeStopped, leavingRetryDelay)
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	blocked, err := x.blockedFor(x.caller.Context())
	if err != nil {
		return x.interrupted()
	}
	if blocked > 0 {
		return newRefusal(outcomeSuspect, blocked)
	}
	admitted, err := g.scheduler.admit(x.caller.Context(), &x.request, x.relayedService(), x.counted)
	if err != nil {
		return x.interrupted()
	}
	x.counted = x.counted || admitted.counted
	if !admitted.hasTargets {
		return newRefusal(outcomeNoTarget, defaultRetryAfter)
	}
	if admitted.turnedAway {
		return newRefusal(outcomeTurnedAway, admitted.retryAfter)
	}
	ctx, cancel := context.WithTimeout(x.caller.Context(), x.deadline-g.options.Now())
	defer cancel()
	return x.forward(ctx)
}

// awaitConfig waits for the first configuration, for at most Options.ConfigWait. A
// refusal would cost the caller a retry and a new connection.
func (x *exchange) awaitConfig() {
	wait := x.gateway.options.ConfigWait
	if timeout, ok := x.callerTimeout(); ok {
		wait = min(wait, time.Duration(configWaitShare*float64(timeout)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.gateway.configured:
	case <-timer.C:
	case <-x.caller.Context().Done():
	}
	x.view = x.gateway.options.View()
}

// callerTimeout returns the time that the caller allows for the response. ok is
// false if it states none or an unusable one.
func (x *exchange) callerTimeout() (timeout time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(x.caller.Header.Get(x.gateway.options.Dialect.Deadline), 64)
	if err != nil || ms < 0 || ms >= 1e9 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// setDeadline sets the deadline from the shorter of the caller's and the route's
// time-outs, or from defaultTimeout if there is neither.
func (x *exchange) setDeadline(route *catalog.Route) {
	stated, ok := x.callerTimeout()
	x.deadline = x.arrived + timeLimit(stated, ok, route)
	x.request = placement.Request{Route: route, Arrived: x.arrived, Deadline: x.deadline, CallerTimeout: stated}
}

// timeLimit returns the shorter of the caller's time-out, if it states one, and the route's,
// or defaultTimeout if there is neither.
func timeLimit(timeout time.Duration, stated bool, route *catalog.Route) time.Duration {
	switch {
	case !stated && route.Timeout == 0:
		return defaultTimeout
	case !stated:
		return route.Timeout
	case route.Timeout == 0:
		return timeout
	default:
		return min(timeout, route.Timeout)
	}
}

// interrupted returns the response if the scheduler gave no result before anything
// was sent: nil if the caller is gone, otherwise a refusal, as the process stops.
func (x *exchange) interrupted() *response {
	if x.caller.Context().Err() != nil {
		return nil
	}
	return newRefusal(outcomeStopped, defaultRetryAfter)
}

func (x *exchange) callerAddress() string { return CallerAddress(x.caller) }

// CallerAddress returns the IP address from which a request came.
func CallerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr // without a port the address is the same for each request
	}
	return host
}

// headerBytes returns the length of the request line and the header fields as sent
// in HTTP/1.1.
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
