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

// deskTick is how often the share of the probe bound follows the number of
// instances.
const deskTick = 2 * time.Second

// desk is the goroutine that owns the decision state. Its methods are safe for
// concurrent use and fail only once it has stopped.
type desk struct {
	loop            *owner.Loop
	placer          *placement.Placer
	splitter        *catalog.Splitter
	budget          RetryBudget
	offset          float64 // of the shares of the budget
	instances       func() int
	probesPerTarget float64
	log             *slog.Logger
	shares          map[string]*retry.BudgetShare // by service
	// book holds the strikes against requests; suspects is its size, for those
	// that need not ask.
	book     *quarantine.Tracker
	suspects atomic.Int64
	onStrike func(quarantine.FailureReport)
}

func newDesk(o Options) *desk {
	return &desk{loop: owner.New(o.Now), placer: placement.New(o.FailureDomain, o.Random),
		splitter: catalog.NewSplitter(o.Random.Float64), budget: o.RetryBudget, offset: o.Random.Float64(), instances: o.Instances,
		probesPerTarget: o.ProbesPerTarget, log: o.Log,
		shares: make(map[string]*retry.BudgetShare), book: quarantine.NewTracker(), onStrike: o.OnFailureReport}
}

func (d *desk) run(ctx context.Context) {
	d.loop.Run(ctx, deskTick, func(now time.Duration) {
		d.placer.SetProbeLimit(now, d.probesPerTarget, d.instances())
		d.expireStrikes(now)
	})
}

func (d *desk) setTargets(services map[string][]*catalog.Target) {
	d.loop.Post(func(now time.Duration) {
		d.placer.SetTargets(now, services)
		d.placer.SetProbeLimit(now, d.probesPerTarget, d.instances())
	})
}

func (d *desk) setBudget(b RetryBudget) {
	d.loop.Post(func(time.Duration) {
		d.budget = b
		for _, s := range d.shares {
			s.Ratio, s.Allowance = b.Ratio, b.Allowance
		}
	})
}

func (d *desk) share(service string) *retry.BudgetShare {
	s := d.shares[service]
	if s == nil {
		s = &retry.BudgetShare{Ratio: d.budget.Ratio, Allowance: d.budget.Allowance, Window: d.budget.Window,
			NewFleet: d.budget.NewFleet, Offset: d.offset}
		d.shares[service] = s
	}
	return s
}

// admit picks the part of the route and counts the request.
func (d *desk) admit(ctx context.Context, route *catalog.Route) (service string, known bool, err error) {
	known, err = owner.Ask(ctx, d.loop, func(now time.Duration) bool {
		service = d.splitter.Next(route)
		d.share(service).Request(now)
		return d.placer.HasTargets(service)
	})
	return service, known, err
}

func (d *desk) sample(ctx context.Context, r *placement.Request, far bool) ([]*catalog.Target, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) []*catalog.Target { return d.placer.Sample(now, r, far) })
}

func (d *desk) probed(id catalog.Incarnation, r placement.Report, answered bool) {
	d.loop.Post(func(now time.Duration) {
		if d.placer.Probed(now, id, answered) {
			d.log.Info("target answers probes", "target", id.ID, "answers", answered)
		}
		if answered {
			d.placer.Reported(r)
		}
	})
}

func (d *desk) blind(ctx context.Context, r *placement.Request) ([]placement.Report, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) []placement.Report { return d.placer.CachedReports(now, r) })
}

func (d *desk) good(ctx context.Context, r *placement.Request, reports []placement.Report) (bool, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) bool { return d.placer.HasGoodTarget(now, r, reports) })
}

// grant is a choice whose send has been counted.
type grant struct {
	placement.Choice
	sent time.Duration
	ok   bool
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

// afford takes from the budget of repeats.
func (d *desk) afford(now time.Duration, r *placement.Request, p purpose) bool {
	part := 1.0
	switch {
	case p == firstSend:
		return true
	case p == hedging:
		part = hedgeShare
	case !r.Urgent():
		part = ordinaryShare
	}
	return d.share(r.Service).Take(now, d.instances(), part)
}

// choose picks a target and counts the send. A repeat also takes from the
// service's budget.
func (d *desk) choose(ctx context.Context, r *placement.Request, reports []placement.Report, p purpose) (grant, error) {
	return owner.Ask(ctx, d.loop, func(now time.Duration) grant {
		urgency := d.placer.Requirement(now, r)
		if p == hedging {
			urgency = placement.RequireIdle
		}
		choice, ok := d.placer.Choose(now, r, reports, urgency)
		if !ok || !d.afford(now, r, p) {
			return grant{}
		}
		d.placer.Sent(now, choice.Target.Incarnation())
		return grant{Choice: choice, sent: now, ok: true}
	})
}

func (d *desk) ended(g grant, route *catalog.Route, result placement.Outcome, load placement.Load) {
	d.loop.Post(func(now time.Duration) {
		if load.Slots > 0 {
			d.placer.Reported(placement.Report{Target: g.Target, Load: load, At: now})
		}
		d.placer.Ended(now, g.Target.Incarnation(), g.sent, route, g.Choice, result)
	})
}

// patience returns how long the request may wait for room and when a refused
// caller should come back.
func (d *desk) patience(ctx context.Context, r *placement.Request) (hold, retryAfter time.Duration, err error) {
	hold, err = owner.Ask(ctx, d.loop, func(time.Duration) time.Duration {
		retryAfter = d.placer.RetryAfter(r, len(r.Tried) > 0)
		return d.placer.MaxWait(r)
	})
	return hold, retryAfter, err
}
