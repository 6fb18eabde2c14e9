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
	// defaultPatience is the time given to a request without a deadline on a
	// route without a time-out.
	defaultPatience = 10 * time.Second
	// coldRetryAfter is when a caller should come back to an instance that has
	// just started: peers or the store answer within a fraction of a second.
	coldRetryAfter = 300 * time.Millisecond
	// defaultColdHold is Options.ColdHold. An instance has a configuration 0.06 to
	// 0.31 s after its start when 169 start together.
	defaultColdHold = 250 * time.Millisecond
	// coldHoldShare is the part of the caller's time that waiting for the first
	// configuration may take at most, so that enough is left to be served.
	coldHoldShare = 0.15
)

// exchange is one request of a caller. Its own goroutine owns it.
type exchange struct {
	gateway *Gateway
	caller  *http.Request
	// connection is the caller's.
	connection *http.ResponseController
	id         string
	arrived    time.Duration
	view       *catalog.View
	request    placement.Request
	body       []byte
	held       int64
	attempts   []*attempt
	answer     *answer
	writeErr   error
	// surveyed are the load reports of the last search that found no target.
	surveyed []placement.Report
	// content is the request's fingerprint once identified is set.
	content    poison.Fingerprint
	identified bool
	// limit is when the request gets its final answer.
	limit time.Duration
}

// serve returns the answer, or nil when the caller has gone.
func (x *exchange) serve() *answer {
	g := x.gateway
	x.view = g.options.View()
	if x.view.Config == nil {
		x.awaitConfig()
	}
	if x.view.Config == nil {
		return notRun(outcomeNoConfig, coldRetryAfter)
	}
	if limit := x.view.Config.Limits.HeaderBytes; limit > 0 && headerBytes(x.caller) > limit {
		return &answer{status: http.StatusRequestHeaderFieldsTooLarge, outcome: outcomeTooLarge}
	}
	path, _, _ := strings.Cut(x.caller.RequestURI, "?")
	route := x.view.Routes.Match(x.caller.Host, path)
	if route == nil {
		return &answer{status: http.StatusNotFound, outcome: outcomeNoRoute}
	}
	x.setDeadline(route)
	defer x.releaseBody()
	if refused := x.readBody(); refused != nil {
		return refused
	}
	left, err := x.blocked(x.caller.Context())
	if err != nil {
		return x.interrupted()
	}
	if left > 0 {
		return notRun(outcomeSuspect, left)
	}
	service, known, err := g.desk.admit(x.caller.Context(), route)
	if err != nil {
		return x.interrupted()
	}
	x.request.Service = service
	if !known {
		return notRun(outcomeNoTarget, coldRetryAfter)
	}
	ctx, cancel := context.WithTimeout(x.caller.Context(), x.limit-g.options.Now())
	defer cancel()
	return x.run(ctx)
}

// awaitConfig holds a request that came before the configuration was known. A
// refusal would cost the caller a repeat and a new connection.
func (x *exchange) awaitConfig() {
	hold := x.gateway.options.ConfigWait
	if patience, stated := x.statedPatience(); stated {
		hold = min(hold, time.Duration(coldHoldShare*float64(patience)))
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

// statedPatience returns how long the caller says that it waits.
func (x *exchange) statedPatience() (patience time.Duration, stated bool) {
	ms, err := strconv.ParseFloat(x.caller.Header.Get(x.gateway.options.Dialect.Deadline), 64)
	if err != nil || ms < 0 || ms >= 1e9 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// setDeadline derives the times of the request from the caller's deadline and
// the route's time-out.
func (x *exchange) setDeadline(route *catalog.Route) {
	patience, stated := x.statedPatience()
	if !stated {
		patience = math.MaxInt64
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	if patience == math.MaxInt64 {
		patience = defaultPatience
	}
	x.limit = x.arrived + patience
	x.request = placement.Request{Route: route, Arrived: x.arrived, Deadline: x.limit}
}

// interrupted returns the answer after the caller left or the process stopped
// before anything was sent.
func (x *exchange) interrupted() *answer {
	if x.caller.Context().Err() != nil {
		return nil
	}
	return notRun(outcomeStopped, coldRetryAfter)
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
