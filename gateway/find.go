package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

const (
	// defaultNearPatience and defaultFarPatience are those of Options. A target
	// answers at once; the way there and back takes up to 3 ms between failure
	// domains.
	defaultNearPatience = 6 * time.Millisecond
	defaultFarPatience  = 12 * time.Millisecond
	// probeTimeout bounds a probe. After it the connection counts as silent.
	probeTimeout = 150 * time.Millisecond
	// firstPause and maxPause are the times between two searches for room.
	firstPause = 8 * time.Millisecond
	maxPause   = 40 * time.Millisecond
	// maxProbeBytes bounds the body of a probe's answer.
	maxProbeBytes = 4 << 10
)

// selection is the result of a search for a target.
type selection struct {
	grant
	refused *answer
	// reports are what the last survey brought, for the log.
	reports []placement.Report
}

// find asks targets for their load until one can take the request or the
// request has waited for too long.
func (x *exchange) find(ctx context.Context, r *placement.Request, p purpose) selection {
	g := x.gateway
	hold, retryAfter, err := g.desk.patience(ctx, r)
	if err != nil {
		return selection{refused: x.failedSearch()}
	}
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		reports, err := x.survey(ctx, r)
		if err != nil {
			return selection{refused: x.failedSearch()}
		}
		granted, err := g.desk.choose(ctx, r, reports, p)
		if err != nil {
			return selection{refused: x.failedSearch()}
		}
		if granted.ok {
			return selection{grant: granted}
		}
		now := g.options.Now()
		if p != firstSend || now+pause-r.Arrived > hold || now+pause > r.Deadline {
			return selection{refused: notRun(outcomeNoRoom, retryAfter), reports: reports}
		}
		backoff.Sleep(ctx, pause)
	}
}

func (x *exchange) failedSearch() *answer { return notRun(outcomeStopped, coldRetryAfter) }

// survey asks targets of the own failure domain and, unless one of them is
// good, of the others.
func (x *exchange) survey(ctx context.Context, r *placement.Request) ([]placement.Report, error) {
	g := x.gateway
	near, err := g.desk.sample(ctx, r, false)
	if err != nil {
		return nil, err
	}
	answers := make(chan placement.Report, 16)
	reports := x.ask(ctx, near, answers, nil, g.options.LocalReportWait)
	good, err := g.desk.good(ctx, r, reports)
	if err != nil || good {
		return reports, err
	}
	far, err := g.desk.sample(ctx, r, true)
	if err != nil {
		return nil, err
	}
	if len(near)+len(far) == 0 {
		return g.desk.blind(ctx, r)
	}
	return x.ask(ctx, far, answers, reports, g.options.RemoteReportWait), nil
}

// ask probes targets and adds the reports that arrive in time. A report that
// arrives later still tells that its target answers.
func (x *exchange) ask(ctx context.Context, targets []*catalog.Target, answers chan placement.Report,
	reports []placement.Report, patience time.Duration) []placement.Report {
	if len(targets) == 0 {
		return reports
	}
	for _, t := range targets {
		go x.gateway.probe(ctx, t, x.healthPath(t), answers)
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for range targets {
		select {
		case report := <-answers:
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

// healthPath is the path at which a target tells its load.
func (x *exchange) healthPath(t *catalog.Target) string {
	if service, ok := x.view.Config.Services[t.Service]; ok && service.HealthPath != "" {
		return service.HealthPath
	}
	return "/"
}

// probe asks one target for its load.
func (g *Gateway) probe(ctx context.Context, t *catalog.Target, path string, answers chan<- placement.Report) {
	report, ok := g.probeOnce(ctx, t, path)
	g.desk.probed(t.Incarnation(), report, ok)
	select {
	case answers <- report:
	default: // nobody waits any more
	}
}

// probeOnce sends a probe. It outlives the request that asked.
func (g *Gateway) probeOnce(ctx context.Context, t *catalog.Target, path string) (placement.Report, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	d := &g.options.Dialect
	id := "probe-" + strconv.FormatUint(g.probes.Add(1), 36)
	response, err := g.client.Do(ctx, &transport.Attempt{Target: t.ID, Address: t.Address, Method: http.MethodGet, URI: path,
		Header: http.Header{d.RequestID: {id}}, EchoHeader: d.RequestID})
	if err != nil {
		return placement.Report{}, false
	}
	defer func() { _ = response.Body.Close() }() // its errors end the connection only
	if _, err := readAll(response.Body, maxProbeBytes); err != nil {
		return placement.Report{}, false
	}
	if named := response.Header.Get(d.TargetID); named != "" && named != t.ID {
		return placement.Report{}, false
	}
	load, ok := d.ParseLoad(response.Header.Get(d.Load))
	if !ok { // it answers, but does not tell its load
		load = placement.Load{Slots: t.Slots, Slowness: 1}
	}
	if response.StatusCode != http.StatusOK {
		return placement.Report{}, false
	}
	return placement.Report{Target: t, Load: load, At: g.options.Now()}, true
}
