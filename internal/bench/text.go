package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// WriteText writes the result as text with tables.
func (r *Result) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s\nseed %d, %.0f s of arrivals, service times %d times longer and rates as much lower than the users'\n\n",
		r.Scenario, r.Summary, r.Seed, r.Seconds, serviceFactor)
	text.WriteString("live: real requests over loopback, in ms from the scheduled arrival to the caller's answer\n")
	r.writeLive(&text)
	text.WriteString("\nreplayed: the same arrivals and service times in virtual time, in ms from instance to instance\n")
	r.writeReplayed(&text)
	if r.Note != "" {
		fmt.Fprintf(&text, "\nNot comparable in full: %s.\n", r.Note)
	}
	if r.Crashes > 0 {
		fmt.Fprintf(&text, "\nTargets crashed %d times.\n", r.Crashes)
	}
	if r.PeakGoodput > 0 {
		fmt.Fprintf(&text, "\nLive, during the peak: %.1f%% of all slots worked on requests that were answered in time.\n", 100*r.PeakGoodput)
	}
	for _, l := range r.Live {
		for _, reason := range append(l.Short.Failures, l.Long.Failures...) {
			fmt.Fprintf(&text, "\nA failed request of pool %s: %s", l.Pool, reason)
		}
	}
	text.WriteString("\n")
	harness.WriteVerdicts(&text, r.Verdicts)
	_, err := io.WriteString(w, text.String())
	return err
}

// columns is the heading of both tables, live and replayed.
const columns = "policy\tgroup\trequests\tok\tlate\terrors\trefused\tp50\tp99\tp99.9\tagain\tprobes\tsheds\tbusy\t"

// writeRow writes the row of a group of requests, if there were any. extra counts
// retries and hedged requests.
func writeRow(table io.Writer, policy, group string, o replay.Outcomes, extra int, probes, sheds int64, busy float64) {
	if o.Requests == 0 {
		return
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.0f%%\t\n", policy, group, // a Builder never fails
		o.Requests, o.OK, o.Late, o.Errors, o.Refused, o.P50, o.P99, o.P999, extra, probes, sheds, 100*busy)
}

func (r *Result) writeLive(text *strings.Builder) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, columns)
	for n, l := range r.Live {
		policy := "live decided"
		if n > 0 {
			policy = "live " + l.Pool + " pool"
		}
		writeRow(table, policy, "short", l.Short.Outcomes, l.ExtraAttempts, l.Probes, l.Sheds, l.BusyShare)
		writeRow(table, policy, "high", l.High.Outcomes, l.ExtraAttempts, l.Probes, l.Sheds, l.BusyShare)
		writeRow(table, policy, "long", l.Long.Outcomes, l.ExtraAttempts, l.Probes, l.Sheds, l.BusyShare)
	}
	_ = table.Flush()
}

func (r *Result) writeReplayed(text *strings.Builder) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, columns)
	for _, p := range r.Replayed {
		policy := "replayed " + string(p.Policy)
		extra, probes, sheds := p.Retries+p.Hedges, int64(p.Probes), int64(p.Sheds)
		writeRow(table, policy, "short", p.Short, extra, probes, sheds, p.BusyShare)
		writeRow(table, policy, "high", p.High, extra, probes, sheds, p.BusyShare)
		writeRow(table, policy, "long", p.Long, extra, probes, sheds, p.BusyShare)
	}
	_ = table.Flush()
}
