package demo

import (
	"cmp"
	"context"
	"slices"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
)

// Run runs the demo and checks the invariants. Violations are part of the result,
// not an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	run, err := harness.Execute(ctx, plan(&o))
	if err != nil {
		return nil, err
	}
	defer run.Close()
	evidence := run.Evidence()
	if o.Alter != nil {
		o.Alter(evidence)
	}
	result := &Result{Seed: o.Seed, Seconds: o.Duration.Seconds(), Targets: targetCount, Instances: instanceCount,
		Runs: len(evidence.Runs), Refusals: refusals(run.Calls), Verdicts: checker.Check(evidence)}
	for _, b := range evidence.Budgets {
		result.Probes += b.Probes
	}
	for _, k := range load.Kinds {
		result.Kinds = append(result.Kinds, KindResult{k, load.Summarize(run.Calls,
			func(c *load.Call) bool { return c.RequestKind == k })})
	}
	return result, nil
}

// refusals returns the number of refusals by kind, most frequent first.
func refusals(calls []load.Call) []RefusalResult {
	results := []RefusalResult{}
	for i := range calls {
		c := &calls[i]
		if c.Outcome != checker.Refused {
			continue
		}
		n := slices.IndexFunc(results, func(r RefusalResult) bool { return r.Kind == c.Kind })
		if n < 0 {
			n = len(results)
			results = append(results, RefusalResult{By: c.Kind.By(), Kind: c.Kind, Reason: c.Reason})
		}
		results[n].Count++
	}
	slices.SortFunc(results, func(a, b RefusalResult) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind))
	})
	return results
}
