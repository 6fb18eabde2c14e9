package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

const (
	// defaultLocalReportWait and defaultRemoteReportWait are defaults of Options.
	// Targets answer probes at once; a round trip between failure domains takes up
	// to 3 ms.
	defaultLocalReportWait  = 6 * time.Millisecond
	defaultRemoteReportWait = 12 * time.Millisecond
	// probeTimeout is the time after which a probe has failed. Its connection is then
	// closed, since it may be broken without having been reset.
	probeTimeout = 150 * time.Millisecond
	// initialPause and maxPause limit the pause between two attempts to find a
	// target with capacity. It doubles each time.
	initialPause = 8 * time.Millisecond
	maxPause     = 40 * time.Millisecond
	// maxProbeBytes limits the part of the body of a probe response that is read. The
	// connection is closed if there is more: what counts is in the head.
	maxProbeBytes = 4 << 10
)

// errNoHealthPath is the failure of a probe that was not sent.
var errNoHealthPath = errors.New("the service has no path for probes")

// selection is a reserved target, an instance that gets the request instead, or the refusal
// if there is none.
type selection struct {
	reservation
	peer    netip.Addr // not valid if a target is reserved
	refusal *response  // nil if a target or an instance is selected
	// reports are the load reports that led to a refusal, for the log.
	reports []placement.Report
}

// selectTarget probes targets until one can take the request or the request has
// waited for the maximum time. Only a first send waits, and only if those that wait
// already leave room for it; a retry or hedge is refused if no target can take it
// now.
// While no target of the service answers, an instance that was not tried is selected.
func (x *exchange) selectTarget(ctx context.Context, r *placement.Request, p purpose, triedPeers []netip.Addr) selection {
	g := x.gateway
	maxWait, retryAfter, err := g.scheduler.waitLimits(ctx, r)
	if err != nil {
		return selection{refusal: x.stoppedRefusal()}
	}
	waiting := false
	defer func() {
		if waiting {
			g.scheduler.stopWaiting(r)
		}
	}()
	for pause := initialPause; ; pause = min(2*pause, maxPause) {
		if g.scheduler.unreachableServices()[r.Service] {
			return x.selectPeer(ctx, r, p, triedPeers)
		}
		reports, err := x.collectReports(ctx, r, waiting)
		if err != nil {
			return selection{refusal: x.stoppedRefusal()}
		}
		reports = g.targetBodies.withRoom(reports, x.bodyBytes)
		reserved, err := g.scheduler.choose(ctx, r, reports, p)
		if err != nil {
			return selection{refusal: x.stoppedRefusal()}
		}
		if reserved.ok && !g.targetBodies.take(reserved.Target.Incarnation(), x.bodyBytes) { // taken since
			g.scheduler.recordEnd(reserved, r.Route, placement.Outcome{}, placement.Load{})
			reserved = reservation{}
		}
		if reserved.ok {
			return selection{reservation: reserved}
		}
		noRoom := selection{refusal: newRefusal(outcomeNoRoom, retryAfter), reports: reports}
		if p != firstSend {
			return noRoom
		}
		inTime := max(pause, reserved.heldBackFor) <= r.Arrived+maxWait-g.options.Now()
		if !waiting || !inTime {
			if waits, err := g.scheduler.waitOrRefuse(ctx, r, inTime); err != nil || !waits {
				return noRoom
			}
			waiting = true
		}
		backoff.Sleep(ctx, pause)
	}
}

func (x *exchange) stoppedRefusal() *response { return newRefusal(outcomeStopped, defaultRetryAfter) }

// collectReports probes targets of this failure domain and, unless one of them is
// good, of others. It returns predicted reports if the probe budget allows no probe, or the
// service has no path for probes.
func (x *exchange) collectReports(ctx context.Context, r *placement.Request, waiting bool) ([]placement.Report, error) {
	g := x.gateway
	if _, ok := g.healthPath(r.Service); !ok {
		return g.scheduler.predictedReports(ctx, r)
	}
	local, err := g.scheduler.sampleTargets(ctx, r, false, waiting)
	if err != nil {
		return nil, err
	}
	received := make(chan placement.Report, 16)
	reports := x.probeAll(ctx, local.targets, received, local.fresh, g.options.LocalReportWait)
	good, err := g.scheduler.sufficient(ctx, r, reports)
	if err != nil || good {
		return reports, err
	}
	remote, err := g.scheduler.sampleTargets(ctx, r, true, waiting)
	if err != nil {
		return nil, err
	}
	reports = x.probeAll(ctx, remote.targets, received, append(reports, remote.fresh...), g.options.RemoteReportWait)
	if len(reports)+len(local.targets)+len(remote.targets) == 0 {
		return g.scheduler.predictedReports(ctx, r)
	}
	return reports, nil
}

// probeAll probes targets and returns reports with those added that arrive within
// wait. Later reports still update what the scheduler knows of their targets.
func (x *exchange) probeAll(ctx context.Context, targets []*catalog.Target, received chan placement.Report,
	reports []placement.Report, wait time.Duration) []placement.Report {
	if len(targets) == 0 {
		return reports
	}
	for _, t := range targets {
		go func() {
			_ = contain.Run("probe", x.gateway.options.OnPanic, func() { x.gateway.probeAndRecord(ctx, t, received) })
		}()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range targets {
		select {
		case report := <-received:
			if report.Target != nil && report.Load.Slots > 0 {
				reports = append(reports, report)
			}
		case <-timer.C:
			return reports
		case <-ctx.Done():
			return reports
		}
	}
	return reports
}

// healthPath returns the path for probes of a service's targets in the configuration in
// force. ok is false if there is none.
func (g *Gateway) healthPath(service string) (path string, ok bool) {
	if config := g.options.View().Config; config != nil {
		path = config.Services[service].HealthPath
	}
	return path, path != ""
}

// probeAndRecord probes a target, passes the answer to the scheduler, and sends its
// report to reports unless that would block.
func (g *Gateway) probeAndRecord(ctx context.Context, t *catalog.Target, reports chan<- placement.Report) {
	answer := g.sendProbe(ctx, t)
	g.scheduler.recordProbe(t.Incarnation(), answer)
	select {
	case reports <- answer.report:
	default: // the channel is full, as no receiver is left
	}
}

// probeAnswer is the answer of a target to a probe.
type probeAnswer struct {
	result placement.ProbeResult
	report placement.Report // Target is nil if there is none
	// advice is what the target says, if advised is set.
	advice  placement.Advice
	advised bool
	// warmupLeft is how much longer the target is cold, if there is a report.
	warmupLeft time.Duration
	sentAt     time.Duration
	// unanswered is set if nothing at the address answered: no connection could be made, or no
	// answer arrived in time.
	unanswered bool
}

// sendProbe probes a target. The result is ProbeSilent if no complete response
// arrives within probeTimeout, or if the response names another target. The end of
// the request that needs the probe does not cancel it.
func (g *Gateway) sendProbe(ctx context.Context, t *catalog.Target) probeAnswer {
	d, sentAt := &g.options.Dialect, g.options.Now()
	response, err := g.probe(ctx, t, false)
	if err != nil || !isFrom(d, response, t) {
		answer := probeAnswer{sentAt: sentAt, unanswered: noConnection(err) || timedOutAtTarget(err)}
		if response != nil && isFrom(d, response, t) {
			answer.advice, answer.advised = g.parseAdvice(response, false)
		}
		return answer
	}
	load, hasLoad := d.ParseLoad(response.Header.Get(d.Load))
	if !hasLoad { // without a load report the target counts as idle
		load = placement.Load{Slots: t.Slots, Slowness: 1}
	}
	answer := probeAnswer{sentAt: sentAt}
	answer.advice, answer.advised = g.parseAdvice(response, true)
	switch {
	case response.StatusCode == http.StatusOK || doesNotKnowPath(d, response):
		answer.result = placement.ProbeWell
	case hasLoad && response.Header.Get(d.TargetID) != "": // a target without a load report gives no reason to doubt its answer
		answer.result = placement.ProbeIll
	default:
		return answer
	}
	if d.ParseWarmup != nil {
		answer.warmupLeft = d.ParseWarmup(response.Header)
	}
	answer.report = placement.Report{Target: t, Load: load, At: g.options.Now()}
	return answer
}

// probe sends a probe and returns the response, whose body it has read. It fails if the service
// has no path for probes any more, or if no complete response, or one with maxProbeBytes, arrives
// within probeTimeout. The probe names its target: another one that has got the address rejects
// it. It bears an ID: a late copy of the response could not be told from the response to the next
// request on the connection without one.
func (g *Gateway) probe(ctx context.Context, t *catalog.Target, newConnection bool) (*http.Response, error) {
	path, ok := g.healthPath(t.Service)
	if !ok {
		return nil, errNoHealthPath
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	d := &g.options.Dialect
	id := "probe-" + strconv.FormatUint(g.probes.Add(1), 36)
	response, err := g.client.Do(ctx, &transport.Attempt{Target: t.ID, Address: t.Address, Method: http.MethodGet, URI: path,
		Header: http.Header{d.RequestID: {id}, d.ExpectedTarget: {t.ID}}, EchoHeader: d.RequestID, NewConnection: newConnection})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // an error only closes the connection
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	return response, err
}

// doesNotKnowPath reports whether a response to a probe is of a target that has another path
// for probes and states that it did not run the probe as a request. Such a target is alive.
func doesNotKnowPath(d *Dialect, response *http.Response) bool {
	return response.StatusCode == http.StatusBadRequest && response.Header.Get(d.NotRun) != ""
}

// isFrom reports whether a response to a probe is from the target, as far as it tells.
func isFrom(d *Dialect, response *http.Response, t *catalog.Target) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	respondent := response.Header.Get(d.TargetID)
	return respondent == "" || respondent == t.ID
}
