package replay

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Compare runs the policies on the trace, one after the other, and returns their
// results in the same order. If progress is not nil, it is called before each.
func Compare(t *Trace, policies []Policy, progress func(Policy)) ([]Result, error) {
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		if progress != nil {
			progress(p)
		}
		result, err := Run(t, p)
		if err != nil {
			return nil, errors.Wrapf(err, "replay %s", t.Name)
		}
		results = append(results, result)
	}
	return results, nil
}

// WriteTable prints results as a table with a line for each policy and group of
// requests. Groups without requests are left out.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\tgroup\trequests\tok\tlate\terrors\trefused\tmean ms\tp50\tp99\tp99.9\tretries\thedges\tprobes\tsheds\tbusy\t")
	for _, r := range results {
		for _, group := range []struct {
			name     string
			outcomes Outcomes
		}{{"short", r.Short}, {"high", r.High}, {"long", r.Long}} {
			o := group.outcomes
			if o.Requests == 0 {
				continue
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.0f%%\t\n",
				r.Policy, group.name, o.Requests, o.OK, o.Late, o.Errors, o.Refused, o.Mean, o.P50, o.P99, o.P999,
				r.Retries, r.Hedges, r.Probes, r.Sheds, 100*r.BusyShare)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
