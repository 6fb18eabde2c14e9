package checker

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Time limits of the invariants.
const (
	// LeavingBound is the time after which a leaving target receives no new requests.
	LeavingBound = 3 * time.Second
	// ConfigurationBound is the time within which an edit is in force at all instances.
	ConfigurationBound = 8 * time.Second
)

// Check checks all invariants and returns one verdict for each, in a fixed order.
func Check(e *Evidence) []Verdict {
	return []Verdict{
		atMostOnce(e), notRunReportsTrue(e), responsesCorrect(e), refusalsExplained(e), noRunsOnLeavingTargets(e),
		versionsNeverRevert(e), editsInForce(e), probeBudgetKept(e), noRequestsAborted(e),
	}
}

// runsByRequest returns the number of runs of each request, by its identifier.
func runsByRequest(e *Evidence) map[string]int {
	runs := make(map[string]int, len(e.Runs))
	for i := range e.Runs {
		runs[e.Runs[i].RequestID]++
	}
	return runs
}

// atMostOnce checks that each non-idempotent request ran at most once.
func atMostOnce(e *Evidence) Verdict {
	v := Verdict{Invariant: "non-idempotent requests run at most once"}
	runs := runsByRequest(e)
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Idempotent {
			continue
		}
		v.Checked++
		if n := runs[call.RequestID]; n > 1 {
			v.addViolation("request %s ran %d times", call.RequestID, n)
		}
	}
	return v
}

// notRunReportsTrue checks that no request ran that its caller received a "not run"
// report for.
func notRunReportsTrue(e *Evidence) Verdict {
	v := Verdict{Invariant: "what was reported as not run was not run"}
	runs := runsByRequest(e)
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome == Responded || call.Execution != refusal.NotRun {
			continue
		}
		v.Checked++
		if n := runs[call.RequestID]; n > 0 {
			v.addViolation("request %s (%s, %s) ran %d times", call.RequestID, call.Outcome, call.Kind, n)
		}
	}
	return v
}

// responsesCorrect checks that each response is complete and belongs to its request.
func responsesCorrect(e *Evidence) Verdict {
	v := Verdict{Invariant: "each answer is whole and the caller's own"}
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome != Responded {
			continue
		}
		v.Checked++
		if !call.ResponseCorrect {
			v.addViolation("request %s, status %d", call.RequestID, call.Status)
		}
	}
	return v
}

// refusalsExplained checks that each refusal has a kind and a reason, and says
// whether the request may have run.
func refusalsExplained(e *Evidence) Verdict {
	v := Verdict{Invariant: "each refusal says who refused and why"}
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome != Refused {
			continue
		}
		v.Checked++
		if call.Kind == "" || call.Reason == "" || (call.Execution != refusal.NotRun && call.Execution != refusal.MayHaveRun) {
			v.addViolation("request %s: kind %q, execution %q, reason %q", call.RequestID, call.Kind, call.Execution, call.Reason)
		}
	}
	return v
}

// noRunsOnLeavingTargets checks that no run starts at a leaving target after
// LeavingBound.
func noRunsOnLeavingTargets(e *Evidence) Verdict {
	v := Verdict{Invariant: "a leaving target receives nothing new after 3 s"}
	for _, leaving := range e.Leaving {
		v.Checked++
		limit := leaving.At.Add(LeavingBound)
		for i := range e.Runs {
			if run := &e.Runs[i]; run.Target == leaving.Target && run.Start.After(limit) {
				v.addViolation("target %s began request %s %v after it began to leave", run.Target, run.RequestID, run.Start.Sub(leaving.At))
			}
		}
	}
	return v
}

// probeBudgetKept checks that the targets of each pool received no more probes than
// the pool allows, per request and per second.
func probeBudgetKept(e *Evidence) Verdict {
	v := Verdict{Invariant: "load measurement stays within its budget"}
	for _, b := range e.Budgets {
		v.Checked++
		targetSeconds := float64(b.Targets) * b.Elapsed.Seconds()
		idle := b.IdlePerTargetPerSecond * targetSeconds
		if limit := b.PerRequest*float64(b.Requests) + idle; float64(b.Probes) > limit {
			v.addViolation("pool %s: %d probes for %d requests, at most %.0f", b.Pool, b.Probes, b.Requests, limit)
		}
		if limit := b.PerTargetPerSecond*targetSeconds + idle; float64(b.Probes) > limit {
			v.addViolation("pool %s: %d probes in %v, at most %.0f", b.Pool, b.Probes, b.Elapsed, limit)
		}
	}
	return v
}

// noRequestsAborted checks that planned stops aborted no request.
func noRequestsAborted(e *Evidence) Verdict {
	v := Verdict{Invariant: "planned stops cut off no request", Checked: e.PlannedStops}
	if e.AbortedRequests > 0 {
		v.addViolation("%d requests were cut off", e.AbortedRequests)
	}
	return v
}
