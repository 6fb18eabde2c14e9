package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/internal/segments"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

const (
	// relayReturnTime is the time that the response of another instance takes to arrive. Its
	// deadline for the request is earlier by that.
	relayReturnTime = 10 * time.Millisecond
	// relayReserve is the number of runs that this instance keeps for a second instance, in case
	// the first one falls silent. Requests with fewer than three runs left keep none: the first
	// instance needs them for a target that fails.
	relayReserve = 1
)

// Relay sends requests to other instances. Implementations are safe for concurrent use.
type Relay interface {
	// Send sends a request and returns the response with its body, which must be read before
	// the context ends. Errors are *relay.Error.
	Send(ctx context.Context, peer netip.Addr, r *relay.Request, body [][]byte) (*relay.Response, io.Reader, error)
}

// selectPeer selects another instance for a request of which this one reaches no target. A
// request that came from another instance is refused.
func (x *exchange) selectPeer(ctx context.Context, r *placement.Request, p purpose, tried []netip.Addr) selection {
	g := x.gateway
	unreachable := selection{refusal: newRefusal(outcomeUnreachable, defaultRetryAfter)}
	if g.options.Relay == nil || x.relayed != nil {
		return unreachable
	}
	peer, err := g.scheduler.choosePeer(ctx, r, p, g.relayPeers(r), tried)
	switch {
	case err != nil:
		return selection{refusal: x.stoppedRefusal()}
	case !peer.IsValid():
		return unreachable
	}
	return selection{peer: peer}
}

// relayPeers returns the instances in regions in which the request may be handled.
func (g *Gateway) relayPeers(r *placement.Request) []relay.Peer {
	peers := g.options.RelayPeers()
	if len(r.Route.Regions) == 0 {
		return peers
	}
	return slices.DeleteFunc(peers, func(p relay.Peer) bool {
		return !slices.Contains(r.Route.Regions, g.options.DomainRegions[p.FailureDomain])
	})
}

// choosePeer chooses an instance for a request, and spends retry budget as choose does. The
// address is not valid if there is none.
func (s *scheduler) choosePeer(ctx context.Context, r *placement.Request, p purpose, peers []relay.Peer, tried []netip.Addr) (netip.Addr, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) netip.Addr {
		peer, ok := s.peers.Choose(now, r.Service, peers, tried)
		if ok && !s.takeRetryBudget(now, r, p) {
			s.peers.Ended(now, r.Service, peer.IP, relay.Abandoned)
			return netip.Addr{}
		}
		return peer.IP
	})
}

// relayEnded records how a request ended that was sent to another instance.
func (s *scheduler) relayEnded(service string, peer netip.Addr, result relay.Result) {
	s.loop.Post(func(now time.Duration) { s.peers.Ended(now, service, peer, result) })
}

// startRelay sends the request to another instance in another goroutine. expected is the
// result of awaitResponse.
func (r *forwarder) startRelay(peer netip.Addr, expected int64) {
	a := &attempt{peer: peer, number: len(r.attempts) + 1, maxRuns: r.maxRuns() - r.possibleRuns()}
	if a.maxRuns > 2*relayReserve {
		a.maxRuns -= relayReserve
	}
	a.sentAt = r.gateway.options.Now()
	r.attempts = append(r.attempts, a)
	r.active++
	r.planLastHedge()
	service, request := r.request.Service, r.relayRequest(a)
	r.runAttempt(a, expected, func(arrived func()) attemptEnd { return r.sendRelay(r.ctx, peer, request, arrived) },
		func(e attemptEnd) {
			result := e.outcome.relayResult()
			if result == relay.Lost && errors.Is(e.err, context.Canceled) {
				result = relay.Abandoned
			}
			r.gateway.scheduler.relayEnded(service, peer, result)
			if e.advised {
				r.gateway.scheduler.recordAdvice(e.response.target, a.sentAt, e.advice)
			}
		})
}

// relayRequest returns the request for another instance.
func (x *exchange) relayRequest(a *attempt) *relay.Request {
	now := x.gateway.options.Now()
	return &relay.Request{Method: x.caller.Method, URI: x.caller.RequestURI, Host: x.caller.Host, Header: x.caller.Header, BodyBytes: x.bodyBytes,
		Caller: x.caller.RemoteAddr, Elapsed: now - x.arrived, Remaining: x.deadline - now - relayReturnTime, Service: x.request.Service,
		MaxRuns: a.maxRuns, Counted: x.counted, ConfigVersion: x.view.Config.Version}
}

// sendRelay sends the request to another instance and waits for the whole response. arrived
// is called when its head has arrived.
func (x *exchange) sendRelay(ctx context.Context, peer netip.Addr, request *relay.Request, arrived func()) attemptEnd {
	resp, source, err := x.gateway.options.Relay.Send(ctx, peer, request, x.body.Segments())
	arrived()
	if err == nil {
		var e attemptEnd
		if e, err = x.readRelayed(peer, resp, source); err == nil {
			e.endedAt = x.gateway.options.Now()
			return e
		}
	}
	var failed *relay.Error
	notRun := errors.As(err, &failed) && failed.NotRun
	if cause := ctx.Err(); cause != nil { // gRPC reports it as a status
		err = errors.Wrap(cause, err.Error())
	}
	return x.failedAttempt(ctx, err, notRun)
}

// readRelayed reads the body of the response of another instance and returns its outcome.
func (x *exchange) readRelayed(peer netip.Addr, resp *relay.Response, source io.Reader) (attemptEnd, error) {
	switch {
	case resp.Unable:
		return attemptEnd{outcome: attemptUnable}, nil
	case resp.NotRun:
		return attemptEnd{outcome: attemptRefused, response: newRefusal(outcome(resp.Outcome), resp.RetryAfter)}, nil
	}
	var body segments.Buffer
	memory := x.memory.newResponseBody(peer.String())
	if err := body.Fill(source, resp.BodyBytes, maxResponseBytes, memory.reserve); err != nil {
		return attemptEnd{}, err
	}
	e := attemptEnd{outcome: attemptRelayed, response: &response{status: resp.Status, header: resp.Header, body: &body, memory: memory,
		outcome: outcome(resp.Outcome), target: catalog.Incarnation{ID: resp.TargetID, StartUnixMS: resp.TargetStartUnixMS}}}
	if resp.TargetID != "" {
		// Callers get the answer from this instance, so what it says binds it, but for a pause, which
		// concerns the other one.
		e.advice, e.advised = x.gateway.options.Dialect.ParseAdvice(resp.Status, resp.Header), true
		e.advice.RetryAfter = 0
	}
	return e, nil
}

// relayResult returns what an outcome says about the instance to which a request was sent.
func (o attemptOutcome) relayResult() relay.Result {
	switch o {
	case attemptRelayed, attemptRefused:
		return relay.Answered
	case attemptUnable:
		return relay.Unable
	case attemptNotSent, attemptBroken, attemptTimedOut:
		return relay.Lost
	default:
		return relay.Abandoned
	}
}

// AcceptRelayed implements relay.Handler.
func (g *Gateway) AcceptRelayed(r *relay.Request) *relay.Response {
	var reason outcome
	switch config := g.options.View().Config; {
	case config == nil || config.Version < r.ConfigVersion:
		reason = outcomeNoConfig // a route may be missing here, or lead elsewhere
	case g.stopping.Load():
		reason = outcomeStopped
	case g.scheduler.unreachableServices()[r.Service]:
		reason = outcomeUnreachable
	default:
		return nil
	}
	return relayedResponse(newRefusal(reason, defaultRetryAfter))
}

// ServeRelayed implements relay.Handler.
func (g *Gateway) ServeRelayed(ctx context.Context, r *relay.Request, body io.Reader, respond func(*relay.Response, [][]byte) error) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	caller := (&http.Request{Method: r.Method, RequestURI: r.URI, Host: r.Host, Header: r.Header, Body: io.NopCloser(body),
		ContentLength: r.BodyBytes, RemoteAddr: r.Caller}).WithContext(ctx)
	x := g.newExchange(caller, g.options.Now()-r.Elapsed)
	x.relayed, x.counted = r, r.Counted
	defer x.memory.release()
	if resp := x.serve(); resp != nil {
		x.memory.keepOnly(resp.memory)
		x.writeErr = respond(relayedResponse(resp), resp.body.Segments())
		x.response = resp
	}
	x.logRequest()
}

// relayedResponse returns a response for the instance that relayed the request.
func relayedResponse(resp *response) *relay.Response {
	r := &relay.Response{Status: resp.status, Header: resp.header, BodyBytes: resp.body.Len(), Outcome: string(resp.outcome),
		RetryAfter: resp.retryAfter, NotRun: resp.retryAfter > 0, TargetID: resp.target.ID, TargetStartUnixMS: resp.target.StartUnixMS}
	switch resp.outcome {
	case outcomeUnreachable, outcomeNoTarget, outcomeStopped, outcomeNoConfig:
		r.Unable = r.NotRun
	}
	return r
}

// maxRuns returns the number of targets that may run the request.
func (x *exchange) maxRuns() int {
	if x.relayed != nil {
		return min(x.relayed.MaxRuns, x.request.Route.MaxAttempts)
	}
	return x.request.Route.MaxAttempts
}

// setRelayedDeadline shortens the deadline of a request that another instance relays to what
// that instance allows.
func (x *exchange) setRelayedDeadline() {
	if x.relayed != nil {
		x.deadline = min(x.deadline, x.gateway.options.Now()+x.relayed.Remaining)
		x.request.Deadline = x.deadline
	}
}

// relayedService returns the service that another instance chose for the request, empty if the
// request came from its caller.
func (x *exchange) relayedService() string {
	if x.relayed == nil {
		return ""
	}
	return x.relayed.Service
}

// triedPeers returns the instances to which the request was sent.
func (r *forwarder) triedPeers() []netip.Addr {
	var list []netip.Addr
	for _, a := range r.attempts {
		if a.peer.IsValid() {
			list = append(list, a.peer)
		}
	}
	return list
}
