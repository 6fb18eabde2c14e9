package admin

import (
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// requestsPerExtraAttempt is the number of requests whose first attempts allow one
// retry or hedged request.
const requestsPerExtraAttempt = 10

// NewPool returns the state of a pool from its table entry and a snapshot of its
// scheduler.
func NewPool(p *tables.Pool, s *dispatch.Snapshot) Pool {
	pool := Pool{Name: p.Name, Closed: p.Closed, Window: s.Window, InFlight: s.InFlight, LongInFlight: s.LongInFlight,
		Queue: Queue{High: s.Waiting[tables.PriorityHigh.Rank()], Normal: s.Waiting[tables.PriorityNormal.Rank()],
			Low: s.Waiting[tables.PriorityLow.Rank()], Retries: s.WaitingRetries},
		ExtraAttempts: ExtraAttempts{Retries: s.Counters.Retries, Hedges: s.Counters.Hedges, HedgeWins: s.Counters.HedgeWins,
			Budget: requestsSent(s.Counters) / requestsPerExtraAttempt},
		Probes: Probes{Granted: s.ProbeStats.Granted, Refused: s.ProbeStats.Refused, InFlight: s.ProbesInFlight,
			PerRequest: p.Measure.PerRequest(), PerTargetPerSecond: p.Measure.PerTargetPerSecond()},
		Targets: make([]Target, 0, len(s.Targets))}
	for i := range s.Targets {
		pool.Targets = append(pool.Targets, newTarget(&s.Targets[i]))
	}
	return pool
}

// requestsSent returns the number of requests with at least one attempt. Only first
// attempts add to the budget of extra attempts.
func requestsSent(c dispatch.Counters) uint64 {
	return c.Sends - min(c.Sends, c.Retries+c.Hedges)
}

func newTarget(t *balancer.TargetStatus) Target {
	return Target{Name: t.Name, Address: t.Address, FailureDomain: t.FailureDomain, State: targetState(t), InSubset: t.InSubset,
		Slots: t.Slots, InFlight: t.InFlight, EstimatedInFlight: t.Load, LatencyFactor: t.LatencyFactor, ErrorRate: t.ErrorRate,
		EjectedForMillis: t.EjectedFor.Milliseconds(), LastReportMillis: t.ReportAge.Milliseconds()}
}

func targetState(t *balancer.TargetStatus) TargetState {
	switch {
	case t.DrainTable || t.DrainListed || t.DrainReported:
		return TargetDraining
	case t.EjectedFor > 0:
		return TargetEjected
	case t.Weight < 1:
		return TargetCold
	case t.LatencyFactor >= slowFactor:
		return TargetSlow
	default:
		return TargetServing
	}
}
