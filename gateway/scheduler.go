package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
	"github.com/dogwoodroute/dogwoodroute/retry"
)

// maintenanceInterval is the time between updates of the probe limit, which depends
// on the number of instances, and between expiries of failure reports.
const maintenanceInterval = 2 * time.Second

// shareStartDelay is the time after the start of the process in which it sends nothing to cold
// targets: it may not know the others, and take itself for one of the few that may.
const shareStartDelay = 2 * time.Second

// scheduler owns the decision state in one goroutine. Its methods are safe for
// concurrent use; those that return an error fail if the context ends before the
// call is queued or the scheduler has stopped.
type scheduler struct {
	loop            *owner.Loop
	placer          *placement.Placer
	splitter        *catalog.Splitter
	retryBudget     RetryBudget
	budgetOffset    float64 // BudgetShare.Offset of all services
	instances       func() int
	isolated        func() bool
	probesPerTarget float64
	warmup          placement.WarmupBounds
	services        map[string]catalog.Service // of the configuration in force
	log             *slog.Logger
	retryShares     map[string]*retry.BudgetShare // by service
	// reports holds the failure reports. suspectCount is the number of requests in
	// it, and queuedReports the number of reports of this instance that are not yet in
	// it; both are readable from any goroutine.
	reports         *quarantine.Tracker
	suspectCount    atomic.Int64
	queuedReports   atomic.Int64
	onFailureReport func(quarantine.FailureReport, bool)
	metrics         Metrics
	shortages       shortages
	// unreachable holds the services of which no target answers, cutOff is true if none of any
	// service does. Both are readable from any goroutine.
	unreachable atomic.Pointer[map[string]bool]
	cutOff      atomic.Bool
	peers       *relay.Chooser
	lost        chan struct{} // receives a value when a service becomes unreachable
}

func newScheduler(o Options) *scheduler {
	if o.WeightedInstances == nil {
		o.WeightedInstances = o.Instances
	}
	placer := placement.New(o.FailureDomain, o.Random)
	if o.Share != nil {
		placer.SetShares(func(t *catalog.Target, n int) (bool, int) { return o.Share(incarnationHash(t), t.FailureDomain, n) })
	}
	placer.SetRegions(o.DomainRegions)
	placer.SetSettled(func(now time.Duration) bool { return now >= shareStartDelay && !o.Isolated() })
	loop := owner.New(o.Now)
	loop.OnPanic(o.OnPanic)
	return &scheduler{loop: loop, placer: placer,
		splitter: catalog.NewSplitter(o.Random.Float64), retryBudget: o.RetryBudget,
		budgetOffset: o.Random.Float64(), instances: o.WeightedInstances, isolated: o.Isolated, probesPerTarget: o.ProbesPerTarget, warmup: o.Warmup, log: o.Log,
		retryShares: make(map[string]*retry.BudgetShare), reports: quarantine.NewTracker(), onFailureReport: o.OnFailureReport,
		metrics: o.Metrics, shortages: newShortages(o, placer), lost: make(chan struct{}, 1),
		peers: relay.NewChooser(o.FailureDomain, o.Random)}
}

// run handles calls until the context ends.
func (s *scheduler) run(ctx context.Context) {
	s.loop.Run(ctx, maintenanceInterval, func(now time.Duration) {
		s.updateFleet(now)
		s.expireReports(now)
		s.peers.Expire(now)
		s.shortages.update(now)
	})
}

// setServices replaces the services of the configuration in force.
func (s *scheduler) setServices(services map[string]catalog.Service) {
	s.loop.Post(func(time.Duration) {
		s.services = services
		s.placer.SetWarmup(s.warmup, s.services)
	})
}

func (s *scheduler) setTargets(services map[string][]*catalog.Target) {
	s.loop.Post(func(now time.Duration) {
		s.placer.SetTargets(now, services)
		s.updateFleet(now)
	})
}

// updateFleet passes the present number of instances to the placer. It runs in the
// loop's goroutine, also before each sample, since an instance that has just started
// soon learns of the others.
func (s *scheduler) updateFleet(now time.Duration) {
	s.placer.SetFleet(now, s.instances(), s.probesPerTarget)
}

// setBudget replaces the retry budget. Existing shares take only its ratio and allowance.
func (s *scheduler) setBudget(b RetryBudget) {
	s.loop.Post(func(time.Duration) {
		s.retryBudget = b
		for _, share := range s.retryShares {
			share.Ratio, share.Allowance = b.Ratio, b.Allowance
		}
	})
}

// setWarmup replaces the bounds for cold targets.
func (s *scheduler) setWarmup(bounds placement.WarmupBounds) {
	s.loop.Post(func(time.Duration) {
		s.warmup = bounds
		s.placer.SetWarmup(s.warmup, s.services)
	})
}

// setProbesPerTarget replaces the limit of probes per target and second.
func (s *scheduler) setProbesPerTarget(limit float64) {
	s.loop.Post(func(now time.Duration) {
		s.probesPerTarget = limit
		s.updateFleet(now)
	})
}

// retryShare returns this instance's share of the retry budget of a service. It is
// called in the scheduler's goroutine only, as takeRetryBudget is.
func (s *scheduler) retryShare(service string) *retry.BudgetShare {
	share := s.retryShares[service]
	if share == nil {
		share = &retry.BudgetShare{Ratio: s.retryBudget.Ratio, Allowance: s.retryBudget.Allowance, Window: s.retryBudget.Window,
			NewFleet: s.retryBudget.NewFleet, Offset: s.budgetOffset}
		s.retryShares[service] = share
	}
	return share
}

// admission is the decision on a request that has arrived.
type admission struct {
	// hasTargets is false if no target of the service takes new requests.
	hasTargets bool
	// turnedAway is true if the request is refused, as its service is short of room. The
	// caller should return after retryAfter then.
	turnedAway bool
	retryAfter time.Duration
	// counted is true if the request was counted as demand for its service.
	counted bool
}

// admit picks a service of the request's route by weight, or takes the chosen one if the
// route leads there, sets it in the request, counts the request for the retry budget and decides
// whether it is turned away. A request is counted once, by the instance that sends it to targets:
// not if it was counted before, and not while its service is unreachable here.
func (s *scheduler) admit(ctx context.Context, r *placement.Request, chosen string, counted bool) (admission, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) admission {
		r.Service = chosen
		if !r.Route.LeadsTo(chosen) {
			r.Service = s.splitter.Next(r.Route)
		}
		if s.placer.Unreachable(r.Service) {
			return admission{hasTargets: true}
		}
		if !counted {
			s.retryShare(r.Service).Request(now)
		}
		if !s.placer.HasTargets(r.Route, r.Service) {
			return admission{counted: true}
		}
		if counted {
			return admission{hasTargets: true}
		}
		retryAfter, turnedAway := s.shortages.offer(now, r)
		return admission{hasTargets: true, turnedAway: turnedAway, retryAfter: retryAfter, counted: true}
	})
}

// sample is the result of placement.Placer.Sample.
type sample struct {
	targets []*catalog.Target
	fresh   []placement.Report
}

// sampleTargets returns targets to probe, in this failure domain or in others, and
// fresh reports of others. waiting is true for a request that has found no room.
func (s *scheduler) sampleTargets(ctx context.Context, r *placement.Request, remote, waiting bool) (sample, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) sample {
		s.updateFleet(now)
		targets, fresh := s.placer.Sample(now, r, remote, waiting)
		return sample{targets: targets, fresh: fresh}
	})
}

// recordProbe records the answer to a probe.
func (s *scheduler) recordProbe(id catalog.Incarnation, answer probeAnswer) {
	s.loop.Post(func(now time.Duration) {
		switch {
		case answer.result != placement.ProbeSilent:
			s.answered(now, id)
		case answer.unanswered:
			s.silent(now, answer.sentAt, id)
		}
		if s.placer.Probed(now, id, answer.result) {
			s.log.Info("target probe status changed", "target", id.ID, "answers", answer.result != placement.ProbeSilent)
		}
		if answer.advised {
			s.advised(now, id, answer.advice, placement.Exchange{SentAt: answer.sentAt, Probe: true})
		}
		if answer.report.Target != nil {
			s.warmupAnswered(now, id, answer)
			s.placer.Reported(answer.report)
			s.placer.ProbeTook(answer.report.Target.FailureDomain, answer.report.At-answer.sentAt)
		}
	})
}

// warmupAnswered records what a target says in the answer to a probe about its warm-up. It
// runs in the loop's goroutine.
func (s *scheduler) warmupAnswered(now time.Duration, id catalog.Incarnation, answer probeAnswer) {
	if !s.placer.WarmupAnswered(now, answer.sentAt, id, answer.warmupLeft) {
		return
	}
	state := "warm"
	if answer.warmupLeft > 0 {
		state = "cold"
	}
	s.log.Info("target warm-up changed", "target", id.ID, "state", state, "left_ms", answer.warmupLeft.Milliseconds())
	s.metrics.TargetWarmup(state)
}

// recordAdvice records what a target says in the response to a request that was sent at a time.
func (s *scheduler) recordAdvice(id catalog.Incarnation, sentAt time.Duration, a placement.Advice) {
	s.loop.Post(func(now time.Duration) { s.advised(now, id, a, placement.Exchange{SentAt: sentAt}) })
}

// advised records what a target says about the requests that it wants. It runs in the
// loop's goroutine.
func (s *scheduler) advised(now time.Duration, id catalog.Incarnation, a placement.Advice, e placement.Exchange) {
	if !s.placer.Advised(now, id, a, e) {
		return
	}
	s.log.Info("target advice changed", "target", id.ID, "leaving", a.Leaving, "limited", a.Limited, "per_second", a.PerSecond,
		"retry_after_ms", a.RetryAfter.Milliseconds(), "probe", e.Probe)
	s.metrics.TargetAdvice(adviceKind(a))
}

// adviceKind returns the kind of advice as written to metrics.
func adviceKind(a placement.Advice) string {
	switch {
	case a.Leaving:
		return "leaving"
	case a.RetryAfter > 0:
		return "retry-after"
	case a.Limited:
		return "limit"
	default:
		return "none"
	}
}

// predictedReports returns the probable load of the service's targets, for a choice
// without probes.
func (s *scheduler) predictedReports(ctx context.Context, r *placement.Request) ([]placement.Report, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) []placement.Report { return s.placer.PredictedReports(now, r) })
}

// sufficient reports whether a reported target is good enough that no others need to be
// probed.
func (s *scheduler) sufficient(ctx context.Context, r *placement.Request, reports []placement.Report) (bool, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) bool { return s.placer.HasGoodTarget(now, r, reports) })
}

// reservation is a chosen target whose load already includes the send.
type reservation struct {
	placement.Choice
	sentAt time.Duration
	ok     bool // false: no target was chosen
	// heldBackFor is the time for which no target wants the request, if none was chosen.
	heldBackFor time.Duration
}

// purpose is the reason for selecting a target.
type purpose int

const (
	// firstSend is for a request that no target has received.
	firstSend purpose = iota
	// retrying is for a request that a target rejected or failed to answer.
	retrying
	// hedging is for a request whose attempt takes unusually long.
	hedging
)

// Parts of the retry budget that hedged requests and retries of ordinary requests
// may use. The rest is reserved for urgent requests that would fail otherwise.
const (
	hedgeBudgetPart    = 0.7
	ordinaryBudgetPart = 0.7
)

// takeRetryBudget spends one retry of the service's budget, or reports false if
// none is left for this purpose. A first send costs nothing.
func (s *scheduler) takeRetryBudget(now time.Duration, r *placement.Request, p purpose) bool {
	part := 1.0
	switch {
	case p == firstSend:
		return true
	case p == hedging:
		part = hedgeBudgetPart
	case !s.placer.MayUseWholeRetryBudget(now, r):
		part = ordinaryBudgetPart
	}
	return s.retryShare(r.Service).Take(now, s.instances(), part)
}

// choose picks a target from the reports and counts the send there. A retry or
// hedge also spends retry budget. A hedge goes only to an idle target.
func (s *scheduler) choose(ctx context.Context, r *placement.Request, reports []placement.Report, p purpose) (reservation, error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) reservation {
		requirement := s.placer.Requirement(now, r)
		if p == hedging {
			requirement = placement.RequireIdle
		}
		choice, ok := s.placer.Choose(now, r, reports, requirement)
		if !ok {
			return reservation{heldBackFor: s.placer.HeldBackFor(now, r)}
		}
		if !s.takeRetryBudget(now, r, p) {
			return reservation{}
		}
		s.placer.Sent(now, choice.Target.Incarnation())
		if p == firstSend && len(r.Tried) == 0 {
			s.placer.Started(now, r)
		}
		return reservation{Choice: choice, sentAt: now, ok: true}
	})
}

// recordEnd releases a reservation and records how the attempt ended.
func (s *scheduler) recordEnd(res reservation, route *catalog.Route, outcome placement.Outcome, load placement.Load) {
	s.loop.Post(func(now time.Duration) {
		if load.Slots > 0 {
			s.placer.Reported(placement.Report{Target: res.Target, Load: load, At: now})
		}
		s.placer.Ended(now, res.Target.Incarnation(), res.sentAt, route, res.Choice, outcome)
		switch {
		case outcome.NoConnection:
			s.silent(now, res.sentAt, res.Target.Incarnation())
		case outcome.Responded || outcome.Rejected:
			s.answered(now, res.Target.Incarnation())
		}
	})
}

// waitLimits returns how long the request may wait for capacity, counted from its
// arrival, and the Retry-After time if it is refused.
func (s *scheduler) waitLimits(ctx context.Context, r *placement.Request) (maxWait, retryAfter time.Duration, err error) {
	maxWait, err = owner.Call(ctx, s.loop, func(time.Duration) time.Duration {
		retryAfter = s.placer.RetryAfter(r, len(r.Tried) > 0)
		return s.placer.MaxWait(r)
	})
	return maxWait, retryAfter, err
}

// waitOrRefuse reports whether a request that found no room, and could start in time if it
// waits for it, may wait. If so, stopWaiting must be called. Otherwise it records that the
// request found no room, unless it was sent to a target before or its caller has left.
func (s *scheduler) waitOrRefuse(ctx context.Context, r *placement.Request, inTime bool) (waits bool, err error) {
	return owner.Call(ctx, s.loop, func(now time.Duration) bool {
		if inTime && s.placer.StartWaiting(now, r) {
			return true
		}
		if len(r.Tried) == 0 && !errors.Is(ctx.Err(), context.Canceled) {
			s.placer.FoundNoRoom(now, r)
		}
		return false
	})
}

// recordRefusedAfterStart records that a request whose first send was at startedAt is
// refused, as targets rejected it.
func (s *scheduler) recordRefusedAfterStart(r placement.Request, startedAt time.Duration) {
	s.loop.Post(func(now time.Duration) { s.placer.RefusedAfterStart(now, startedAt, &r) })
}

// stopWaiting records that a request no longer waits for capacity.
func (s *scheduler) stopWaiting(r *placement.Request) {
	s.loop.Post(func(time.Duration) { s.placer.StopWaiting(r) })
}
