package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
)

// WriteText writes the result as human-readable text.
func (r *Result) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d callers' requests in %.0f s through %d instances to %d targets (seed %d)\n\n",
		r.requests(), r.Seconds, r.Instances, r.Targets, r.Seed)
	r.writeKinds(&text)
	text.WriteString("\nLatency is in milliseconds, from the scheduled time of arrival to the whole answer.\n" +
		"late: answered after the deadline. errors: a target's status 500, or a broken connection.\n\n")
	r.writeRefusals(&text)
	fmt.Fprintf(&text, "\nThe targets ran %d requests, retries and hedged requests included, and answered %d load probes.\n\n",
		r.Runs, r.Probes)
	harness.WriteVerdicts(&text, r.Verdicts)
	_, err := io.WriteString(w, text.String())
	return err
}

func (r *Result) requests() (n int) {
	for _, k := range r.Kinds {
		n += k.Requests
	}
	return n
}

func (r *Result) writeKinds(text *strings.Builder) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "request\tsent\tanswered\tlate\terrors\trefused\tp50\tp90\tp99\tp99.9\tmax\t") // a Builder never fails
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", k.Kind, k.Requests, k.OK, k.Late,
			k.Errors, k.Refused, k.P50, k.P90, k.P99, k.P999, k.Max)
	}
	_ = table.Flush()
}

func (r *Result) writeRefusals(text *strings.Builder) {
	if len(r.Refusals) == 0 {
		text.WriteString("Nothing was refused.\n")
		return
	}
	text.WriteString("Refusals, each with its source and a reason:\n")
	for _, refused := range r.Refusals {
		fmt.Fprintf(text, "  %5d  by %s  %s: %q\n", refused.Count, refused.By, refused.Kind, refused.Reason)
	}
}
