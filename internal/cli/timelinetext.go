package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// timeFormat shows milliseconds; the clock error is rarely smaller.
const timeFormat = "2006-01-02T15:04:05.000Z"

// writeTimeline prints the newest maxEvents events, the instances that are missing
// and a summary line with the numbers of events that are not shown.
func writeTimeline(w io.Writer, r *timelineReport, maxEvents int) error {
	omitted := max(0, len(r.Events)-maxEvents)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range r.Events[omitted:] {
		e := &r.Events[omitted+i]
		line := []string{e.Time.UTC().Format(timeFormat), e.Instance, string(e.Kind)}
		if text := eventText(e); text != "" {
			line = append(line, text)
		}
		_, _ = fmt.Fprintln(table, strings.Join(line, "\t")) // Flush reports errors
	}
	if err := table.Flush(); err != nil {
		return errorsWrap(err, "print events")
	}
	var text strings.Builder
	writeFailures(&text, r.Failures)
	fmt.Fprintf(&text, "%d events, %d earlier ones not printed; times are off by at most %v; lost from rings: %d, left out by instances: %d\n",
		len(r.Events), omitted, r.ErrorBound, r.Lost, r.Omitted)
	_, err := io.WriteString(w, text.String())
	return errorsWrap(err, "print events")
}

// eventText formats the fields that are set as name=value, followed by the detail.
func eventText(e *timeline.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" && value != "0" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", e.Request)
	add("route", e.Route)
	add("pool", e.Pool)
	add("target", e.Target)
	add("peer", e.Peer)
	add("attempt", strconv.Itoa(e.Attempt))
	add("version", strconv.FormatUint(e.Version, 10))
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, " ")
}
