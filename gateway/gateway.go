package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Connections to one target.
const (
	// dialTimeout bounds opening a connection. Targets are within some
	// milliseconds; a lost first packet would be sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes unused connections. Targets say when they close theirs;
	// this holds for those that do not.
	idleTimeout = 8 * time.Second
	// connectionShare is the part of a target's connection limit that all
	// instances use together, and minConnections what each may always use.
	connectionShare = 0.8
	minConnections  = 4
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options          Options
	scheduler        *scheduler
	client           *transport.Client
	stopping         atomic.Bool
	bodyBytes        atomic.Int64 // bytes of bodies in memory
	connectionLimits sync.Map     // address to connection limit
	probes           atomic.Uint64
	inFlight         atomic.Int64
	// configured is closed once a configuration is known.
	configured     chan struct{}
	configuredOnce sync.Once
}

// New returns a gateway. Run must be called for it to decide anything.
func New(o Options) *Gateway {
	o.LocalReportWait = cmp.Or(o.LocalReportWait, defaultLocalReportWait)
	o.RemoteReportWait = cmp.Or(o.RemoteReportWait, defaultRemoteReportWait)
	o.ConfigWait = cmp.Or(o.ConfigWait, defaultConfigWait)
	g := &Gateway{options: o, scheduler: newScheduler(o), configured: make(chan struct{})}
	g.client = transport.NewClient(transport.Options{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Now: o.Now,
		Limit: g.connectionLimit})
	return g
}

// Run owns the decisions until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	g.scheduler.run(ctx)
	g.client.Close()
}

// ViewChanged takes over the present view.
func (g *Gateway) ViewChanged() {
	view := g.options.View()
	for _, list := range view.Targets {
		for _, t := range list {
			limit := 0
			if view.Config != nil {
				limit = view.Config.Services[t.Service].MaxConnections
			}
			share := int(connectionShare * float64(limit) / float64(max(1, g.options.Instances())))
			g.connectionLimits.Store(t.Address, max(minConnections, share))
		}
	}
	g.scheduler.setTargets(view.Targets)
	if view.Config != nil {
		g.configuredOnce.Do(func() { close(g.configured) })
	}
}

// SetRetryBudget replaces the bounds of repeats.
func (g *Gateway) SetRetryBudget(b RetryBudget) { g.scheduler.setBudget(b) }

// AddFailureReports takes strikes that other instances tell.
func (g *Gateway) AddFailureReports(list []quarantine.FailureReport) {
	g.scheduler.addFailureReports(list)
}

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool {
	view := g.options.View()
	return !g.stopping.Load() && view.Config != nil && len(view.Targets) > 0
}

// Stop makes the gateway not ready and closes callers' connections after the
// answer in progress. Requests are still served.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// InFlight returns the number of requests that have no answer yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{gateway: g, caller: r, controller: http.NewResponseController(w),
		arrived: g.options.Now(), id: r.Header.Get(g.options.Dialect.RequestID)}
	a := x.serve()
	if a != nil {
		g.writeResponse(w, x, a)
	}
	x.logRequest()
	if a == nil {
		panic(http.ErrAbortHandler) // closes the connection; a plain return would answer 200
	}
}

func (g *Gateway) connectionLimit(address string) int {
	if limit, ok := g.connectionLimits.Load(address); ok {
		return limit.(int)
	}
	return minConnections
}
