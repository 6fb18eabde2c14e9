package checker

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Bounds of the invariants.
const (
	LeavingBound       = 3 * time.Second
	ConfigurationBound = 8 * time.Second
)

// Check gives a verdict on each invariant.
func Check(e *Evidence) []Verdict {
	return []Verdict{
		atMostOnce(e), notRunIsTrue(e), wholeOwnAnswers(e), refusalsSayWho(e), nothingOnLeaving(e),
		versionsRise(e), editsInForce(e), budgetKept(e), nothingCut(e),
	}
}

func runsByRequest(e *Evidence) map[string]int {
	runs := make(map[string]int, len(e.Runs))
	for i := range e.Runs {
		runs[e.Runs[i].RequestID]++
	}
	return runs
}

// atMostOnce: a non-idempotent request runs at most once.
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
			v.violate("request %s ran %d times", call.RequestID, n)
		}
	}
	return v
}

// notRunIsTrue: what callers were told was not run was not run.
func notRunIsTrue(e *Evidence) Verdict {
	v := Verdict{Invariant: "what was reported as not run was not run"}
	runs := runsByRequest(e)
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome == Responded || call.Execution != refusal.NotRun {
			continue
		}
		v.Checked++
		if n := runs[call.RequestID]; n > 0 {
			v.violate("request %s (%s, %s) ran %d times", call.RequestID, call.Outcome, call.Kind, n)
		}
	}
	return v
}

// wholeOwnAnswers: each answer is complete and belongs to its request.
func wholeOwnAnswers(e *Evidence) Verdict {
	v := Verdict{Invariant: "each answer is whole and the caller's own"}
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome != Responded {
			continue
		}
		v.Checked++
		if !call.ResponseCorrect {
			v.violate("request %s, status %d", call.RequestID, call.Status)
		}
	}
	return v
}

// refusalsSayWho: a refusal by a person carries the person's reason.
func refusalsSayWho(e *Evidence) Verdict {
	v := Verdict{Invariant: "each refusal says who refused and why"}
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.Outcome != Refused {
			continue
		}
		v.Checked++
		if call.Kind == "" || call.Reason == "" || (call.Execution != refusal.NotRun && call.Execution != refusal.MayHaveRun) {
			v.violate("request %s: kind %q, execution %q, reason %q", call.RequestID, call.Kind, call.Execution, call.Reason)
		}
	}
	return v
}

// nothingOnLeaving: a leaving target receives no new work after LeavingBound.
func nothingOnLeaving(e *Evidence) Verdict {
	v := Verdict{Invariant: "a leaving target receives nothing new after 3 s"}
	for _, leaving := range e.Leaving {
		v.Checked++
		limit := leaving.At.Add(LeavingBound)
		for i := range e.Runs {
			if run := &e.Runs[i]; run.Target == leaving.Target && run.Start.After(limit) {
				v.violate("target %s began request %s %v after it began to leave", run.Target, run.RequestID, run.Start.Sub(leaving.At))
			}
		}
	}
	return v
}

// budgetKept: targets received no more probes than the pool allows.
func budgetKept(e *Evidence) Verdict {
	v := Verdict{Invariant: "load measurement stays within its budget"}
	for _, b := range e.Budgets {
		v.Checked++
		targetSeconds := float64(b.Targets) * b.Elapsed.Seconds()
		idle := b.IdlePerTargetPerSecond * targetSeconds
		if limit := b.PerRequest*float64(b.Requests) + idle; float64(b.Probes) > limit {
			v.violate("pool %s: %d probes for %d requests, at most %.0f", b.Pool, b.Probes, b.Requests, limit)
		}
		if limit := b.PerTargetPerSecond*targetSeconds + idle; float64(b.Probes) > limit {
			v.violate("pool %s: %d probes in %v, at most %.0f", b.Pool, b.Probes, b.Elapsed, limit)
		}
	}
	return v
}

// nothingCut: planned stops cut no request.
func nothingCut(e *Evidence) Verdict {
	v := Verdict{Invariant: "planned stops cut off no request", Checked: e.PlannedStops}
	if e.AbortedRequests > 0 {
		v.violate("%d requests were cut off", e.AbortedRequests)
	}
	return v
}
