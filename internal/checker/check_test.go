package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// validEvidence returns evidence without violations and with at least one record for
// each invariant.
func validEvidence() *checker.Evidence {
	return &checker.Evidence{
		Calls: []checker.Call{
			{RequestID: "a", Outcome: checker.Responded, Status: 200, ResponseCorrect: true},
			{RequestID: "b", Outcome: checker.Refused, Kind: refusal.Overload, Execution: refusal.NotRun, Reason: "full"},
		},
		Runs:         []checker.Run{{Target: "t", RequestID: "a", Start: after(time.Second)}},
		Leaving:      []checker.Leaving{{Target: "t", At: start}},
		Versions:     []checker.Version{{Instance: "i", Version: 2, At: after(time.Second)}},
		Edits:        []checker.Edit{{Version: 2, At: start, Instances: []string{"i"}}},
		Budgets:      []checker.Budget{{Pool: "p", Probes: 10, Requests: 10, Targets: 1, Elapsed: time.Second, PerRequest: 1, PerTargetPerSecond: 10}},
		PlannedStops: 1,
		EndedAt:      after(time.Minute),
	}
}

// Guards against a checker that reports no violations: each fault must violate
// exactly the invariants that it is meant to violate.
func TestCheckFindsFaults(t *testing.T) {
	is := is.New(t)
	for _, v := range checker.Check(validEvidence()) {
		is.True(v.Holds())
		is.True(v.Checked > 0)
	}
	for name, c := range map[string]struct {
		corrupt func(*checker.Evidence)
		want    []string
	}{
		"run twice": {func(e *checker.Evidence) { e.Runs = append(e.Runs, e.Runs[0]) },
			[]string{"non-idempotent requests run at most once"}},
		"run though refused": {func(e *checker.Evidence) { e.Runs[0].RequestID = "b" },
			[]string{"what was reported as not run was not run"}},
		"foreign answer": {func(e *checker.Evidence) { e.Calls[0].ResponseCorrect = false },
			[]string{"each answer is whole and the caller's own"}},
		"no reason": {func(e *checker.Evidence) { e.Calls[1].Reason = "" },
			[]string{"each refusal says who refused and why"}},
		"late work": {func(e *checker.Evidence) { e.Runs[0].Start = after(checker.LeavingBound + 1) },
			[]string{"a leaving target receives nothing new after 3 s"}},
		"reverted": {func(e *checker.Evidence) { e.Versions = append(e.Versions, checker.Version{Instance: "i", Version: 1}) },
			[]string{"the configuration in force never reverts"}},
		"slow edit": {func(e *checker.Evidence) { e.Versions[0].At = after(checker.ConfigurationBound + 1) },
			[]string{"an edit is in force everywhere within 8 s"}},
		"lost edit": {func(e *checker.Evidence) { e.Edits[0].Instances = append(e.Edits[0].Instances, "j") },
			[]string{"an edit is in force everywhere within 8 s"}},
		"probes": {func(e *checker.Evidence) { e.Budgets[0].Probes = 11; e.Budgets[0].PerTargetPerSecond = 100 },
			[]string{"load measurement stays within its budget"}},
		"cut": {func(e *checker.Evidence) { e.AbortedRequests = 1 }, []string{"planned stops cut off no request"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := validEvidence()
			c.corrupt(e)
			var violated []string
			for _, v := range checker.Check(e) {
				if !v.Holds() {
					violated = append(violated, v.Invariant)
				}
			}
			is.Equal(violated, c.want)
		})
	}
}
