package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/retry"
)

// maintenanceInterval is how often the share of the probe bound follows the number of
// instances.
const maintenanceInterval = 2 * time.Second

// scheduler is the goroutine that owns the decision state. Its methods are safe for
// concurrent use and fail only once it has stopped.
type scheduler struct {
	loop            *owner.Loop
	placer          *placement.Placer
	splitter        *catalog.Splitter
	retryBudget     RetryBudget
	budgetOffset    float64 // of the shares of the budget
	instances       func() int
	probesPerTarget float64
	log             *slog.Logger
	retryShares     map[string]*retry.BudgetShare // by service
	// reports holds the strikes against requests; suspects is its size, for those
	// that need not ask.
	reports         *quarantine.Tracker
	suspectCount    atomic.Int64
	onFailureReport func(quarantine.FailureReport)
}

func newScheduler(o Options) *scheduler {
	return &scheduler{loop: owner.New(o.Now), placer: placement.New(o.FailureDomain, o.Random),
		splitter: catalog.NewSplitter(o.Random.Float64), retryBudget: o.RetryBudget, budgetOffset: o.Random.Float64(), instances: o.Instances,
		probesPerTarget: o.ProbesPerTarget, log: o.Log,
		retryShares: make(map[string]*retry.BudgetShare), reports: quarantine.NewTracker(), onFailureReport: o.OnFailureReport}
}

func (d *scheduler) run(ctx context.Context) {
	d.loop.Run(ctx, maintenanceInterval, func(now time.Duration) {
		d.placer.SetProbeLimit(now, d.probesPerTarget, d.instances())
		d.expireReports(now)
	})
}

func (d *scheduler) setTargets(services map[string][]*catalog.Target) {
	d.loop.Post(func(now time.Duration) {
		d.placer.SetTargets(now, services)
		d.placer.SetProbeLimit(now, d.probesPerTarget, d.instances())
	})
}

func (d *scheduler) setBudget(b RetryBudget) {
	d.loop.Post(func(time.Duration) {
		d.retryBudget = b
		for _, s := range d.retryShares {
			s.Ratio, s.Allowance = b.Ratio, b.Allowance
		}
	})
}

func (d *scheduler) retryShare(service string) *retry.BudgetShare {
	s := d.retryShares[service]
	if s == nil {
		s = &retry.BudgetShare{Ratio: d.retryBudget.Ratio, Allowance: d.retryBudget.Allowance, Window: d.retryBudget.Window,
			NewFleet: d.retryBudget.NewFleet, Offset: d.budgetOffset}
		d.retryShares[service] = s
	}
	return s
}

// admit picks the part of the route and counts the request.
func (d *scheduler) admit(ctx context.Context, route *catalog.Route) (service string, known bool, err error) {
	known, err = owner.Ask(ctx, d.loop, func(now time.Duration) bool {
		service = d.splitter.Next(route)
		d.retryShare(service).Request(now)
		return d.placer.HasTargets(service)
	})
	return service, known, err
}

func (d *scheduler) sampleTargets(ctx context.Context, r *placement.Request, far bool) ([]*catalog.Target, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) []*catalog.Target { return d.placer.Sample(now, r, far) })
}

func (d *scheduler) recordProbe(id catalog.Incarnation, r placement.Report, answered bool) {
	d.loop.Post(func(now time.Duration) {
		if d.placer.Probed(now, id, answered) {
			d.log.Info("target answers probes", "target", id.ID, "answers", answered)
		}
		if answered {
			d.placer.Reported(r)
		}
	})
}

func (d *scheduler) cachedReports(ctx context.Context, r *placement.Request) ([]placement.Report, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) []placement.Report { return d.placer.CachedReports(now, r) })
}

func (d *scheduler) sufficient(ctx context.Context, r *placement.Request, reports []placement.Report) (bool, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) bool { return d.placer.HasGoodTarget(now, r, reports) })
}

// reservation is a choice whose send has been counted.
type reservation struct {
	placement.Choice
	sentAt time.Duration
	ok     bool
}

// purpose is why a target is looked for.
type purpose int

const (
	// firstSend is for a request that no target has got.
	firstSend purpose = iota
	// retrying is for a request that a target rejected or failed.
	retrying
	// hedging is for a request that takes unusually long.
	hedging
)

// Parts of the budget of repeats that hedges and ordinary retries may use. The
// rest is for urgent requests that would fail otherwise.
const (
	hedgeShare    = 0.7
	ordinaryShare = 0.7
)

// takeRetryBudget takes from the budget of repeats.
func (d *scheduler) takeRetryBudget(now time.Duration, r *placement.Request, p purpose) bool {
	part := 1.0
	switch {
	case p == firstSend:
		return true
	case p == hedging:
		part = hedgeShare
	case !r.Urgent():
		part = ordinaryShare
	}
	return d.retryShare(r.Service).Take(now, d.instances(), part)
}

// choose picks a target and counts the send. A repeat also takes from the
// service's budget.
func (d *scheduler) choose(ctx context.Context, r *placement.Request, reports []placement.Report, p purpose) (reservation, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) reservation {
		urgency := d.placer.Requirement(now, r)
		if p == hedging {
			urgency = placement.RequireIdle
		}
		choice, ok := d.placer.Choose(now, r, reports, urgency)
		if !ok || !d.takeRetryBudget(now, r, p) {
			return reservation{}
		}
		d.placer.Sent(now, choice.Target.Incarnation())
		return reservation{Choice: choice, sentAt: now, ok: true}
	})
}

func (d *scheduler) recordEnd(g reservation, route *catalog.Route, result placement.Outcome, load placement.Load) {
	d.loop.Post(func(now time.Duration) {
		if load.Slots > 0 {
			d.placer.Reported(placement.Report{Target: g.Target, Load: load, At: now})
		}
		d.placer.Ended(now, g.Target.Incarnation(), g.sentAt, route, g.Choice, result)
	})
}

// waitLimits returns how long the request may wait for room and when a refused
// caller should come back.
func (d *scheduler) waitLimits(ctx context.Context, r *placement.Request) (maxWait, retryAfter time.Duration, err error) {
	maxWait, err = owner.Ask(ctx, d.loop, func(time.Duration) time.Duration {
		retryAfter = d.placer.RetryAfter(r, len(r.Tried) > 0)
		return d.placer.MaxWait(r)
	})
	return maxWait, retryAfter, err
}
