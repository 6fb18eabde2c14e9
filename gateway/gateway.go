package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Connections to one target.
const (
	// dialTimeout limits opening a connection. The round trip to a target takes a
	// few milliseconds. After a lost first packet waiting does not help, since TCP
	// retransmits it only after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is the time after which an unused connection to a target is closed if
	// the target states no idle time-out.
	idleTimeout = 8 * time.Second
	// connectionShare is the part of a target's connection limit that all instances
	// together may use. minConnections is the number that each may always use.
	connectionShare = 0.8
	minConnections  = 4
)

// Gateway forwards requests of callers to targets. It is safe for concurrent use.
type Gateway struct {
	options          Options
	scheduler        *scheduler
	client           *transport.Client
	stopping         atomic.Bool
	stopEnd          atomic.Int64 // argument of Stop; valid once stopping is true
	refusing         atomic.Bool
	memory           *memoryLimit // of exchanges
	responseSizes    responseSizes
	targetBodies     targetBodies
	connectionLimits sync.Map                       // by address, int
	applied          atomic.Pointer[catalog.Config] // by the last call of ViewChanged
	probes           atomic.Uint64                  // sent so far, numbers their IDs
	inFlight         atomic.Int64
	crashChecks      atomic.Int64 // in progress
	// configured is closed when the first configuration arrives.
	configured     chan struct{}
	configuredOnce sync.Once
}

// New returns a gateway. It serves requests only while Run runs.
func New(o Options) *Gateway {
	o.LocalReportWait = cmp.Or(o.LocalReportWait, defaultLocalReportWait)
	o.RemoteReportWait = cmp.Or(o.RemoteReportWait, defaultRemoteReportWait)
	o.ConfigWait = cmp.Or(o.ConfigWait, defaultConfigWait)
	if o.Isolated == nil {
		o.Isolated = func() bool { return false }
	}
	g := &Gateway{options: o, scheduler: newScheduler(o), configured: make(chan struct{})}
	g.memory = newMemoryLimit(o.MemoryBytes, o.Now)
	g.memory.sendBuffer = o.CallerSendBuffer
	begin := time.Now()
	g.memory.gaps.now = func() time.Duration { return time.Since(begin) }
	g.client = transport.NewClient(transport.Options{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Now: o.Now, LocalAddress: o.LocalAddress,
		ConnectionLimit: g.connectionLimit})
	return g
}

// Run runs the scheduler until the context ends, then closes the connections to
// targets.
func (g *Gateway) Run(ctx context.Context) {
	var watch sync.WaitGroup
	watch.Go(func() { g.memory.watchGaps(ctx) })
	watch.Go(func() { g.watchReachability(ctx) })
	g.scheduler.run(ctx)
	watch.Wait()
	g.client.Close()
}

// ViewChanged applies the current view: its targets and their connection limits.
func (g *Gateway) ViewChanged() {
	view := g.options.View()
	for _, list := range view.Targets {
		for _, t := range list {
			limit := 0
			if view.Config != nil {
				limit = view.Config.Services[t.Service].MaxConnections
			}
			share := int(connectionShare * float64(limit) / float64(max(1, g.options.Instances())))
			share = max(minConnections, share)
			if known, ok := g.connectionLimits.Load(t.Address); !ok || known.(int) != share {
				g.connectionLimits.Store(t.Address, share)
			}
		}
	}
	if view.Config != nil && g.applied.Swap(view.Config) != view.Config {
		g.scheduler.setServices(view.Config.Services)
	}
	g.scheduler.setTargets(view.Targets)
	if view.Config != nil {
		g.configuredOnce.Do(func() { close(g.configured) })
	}
}

// SetRetryBudget replaces the ratio and the allowance of the retry budget. Services
// without a request so far also use its other fields.
func (g *Gateway) SetRetryBudget(b RetryBudget) { g.scheduler.setBudget(b) }

// SetProbesPerTarget replaces Options.ProbesPerTarget.
func (g *Gateway) SetProbesPerTarget(perSecond float64) { g.scheduler.setProbesPerTarget(perSecond) }

// SetWarmup replaces Options.Warmup.
func (g *Gateway) SetWarmup(bounds placement.WarmupBounds) { g.scheduler.setWarmup(bounds) }

// SetMemoryBytes replaces Options.MemoryBytes.
func (g *Gateway) SetMemoryBytes(limit int64) { g.memory.setLimit(limit) }

// SetCallerSendBuffer replaces Options.CallerSendBuffer.
func (g *Gateway) SetCallerSendBuffer(bytes int64) { g.memory.setSendBuffer(bytes) }

// MemoryInUse returns the bytes that exchanges hold now, of Options.MemoryBytes.
func (g *Gateway) MemoryInUse() int64 { return g.memory.inUse() }

// AddFailureReports adds failure reports from other instances.
func (g *Gateway) AddFailureReports(list []quarantine.FailureReport) {
	g.scheduler.addFailureReports(list)
}

// CutOff reports whether no target of any service answers this instance.
func (g *Gateway) CutOff() bool { return g.scheduler.cutOff.Load() }

// Ready reports whether the gateway has a configuration and targets and is not
// stopping.
func (g *Gateway) Ready() bool {
	view := g.options.View()
	return !g.stopping.Load() && view.Config != nil && len(view.Targets) > 0
}

// Stop makes the gateway not ready. It still serves requests, but closes each
// caller's connection after the next response. It refuses requests that may not be
// complete at end, the time at which the stop cuts those in progress: one that is cut
// may have run, one that is refused can be served by another instance at once.
func (g *Gateway) Stop(end time.Duration) {
	g.stopEnd.Store(int64(end))
	g.stopping.Store(true)
}

// mayOutliveStop reports whether a request with this deadline may still be in progress
// at the end of a planned stop that has begun.
func (g *Gateway) mayOutliveStop(deadline time.Duration) bool {
	return g.stopping.Load() && deadline > time.Duration(g.stopEnd.Load())
}

// RefuseNew makes the gateway refuse requests that arrive from now on. Call it after
// Stop.
func (g *Gateway) RefuseNew() { g.refusing.Store(true) }

// InFlight returns the number of requests without a complete response.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// AwaitRequests waits until all requests have a complete response, or the context ends.
func (g *Gateway) AwaitRequests(ctx context.Context) {
	for g.InFlight() > 0 && ctx.Err() == nil {
		backoff.Sleep(ctx, checkPollInterval)
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the
// caller is gone or has not got the whole response.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := g.newExchange(r, g.options.Now())
	x.controller = http.NewResponseController(w)
	defer x.memory.release()
	resp := x.serve()
	if resp != nil {
		g.writeResponse(w, x, resp)
	}
	x.logRequest()
	if resp == nil || x.writeErr != nil {
		// Closes the connection. If the handler just returned, net/http would answer 200 if
		// there is no response, and could write more of one that is not complete.
		panic(http.ErrAbortHandler)
	}
}

// newExchange returns the exchange for a request that arrived at a time.
func (g *Gateway) newExchange(r *http.Request, arrived time.Duration) *exchange {
	return &exchange{gateway: g, caller: r, arrived: arrived, id: r.Header.Get(g.options.Dialect.RequestID), memory: memoryHold{limit: g.memory}}
}

// connectionLimit returns the number of connections to an address that this
// instance may use.
func (g *Gateway) connectionLimit(address string) int {
	if limit, ok := g.connectionLimits.Load(address); ok {
		return limit.(int)
	}
	return minConnections
}
