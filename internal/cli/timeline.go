package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// timelineReport is the output of the timeline command.
type timelineReport struct {
	timeline.Merged
	Failures []instanceFailure `json:"failures"`
}

func newTimelineCommand() *cobra.Command {
	flags := new(timelineFlags)
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Merge the events of all instances into one timeline",
		Long: `Merge the events of all instances into one timeline, with times converted to this machine's clock.

Without --request, only state changes are shown; --state-only=false adds the steps of all requests. The last line gives
the maximum error of the times and the number of missing events. The exit code is 1 when an instance cannot be queried.`,
		Example: `  dogwoodroute timeline --instances-url http://10.0.0.9:7000/instances --last 10m
  dogwoodroute timeline --admin 10.0.0.1:8082,10.0.0.2:8082 --request 01J9Z3
  dogwoodroute timeline --admin 10.0.0.1:8082 --from 2026-01-01T08:00:00Z --to 2026-01-01T08:01:00Z --json
  dogwoodroute timeline --instances-url http://10.0.0.9:7000/instances --last 2m --plot spike.svg`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	flags.add(command)
	return command
}

func (f *timelineFlags) run(command *cobra.Command) error {
	filter, err := f.buildFilter(command)
	if err != nil {
		return err
	}
	fetchFilter := filter
	if f.plot != "" { // the plot needs the steps of requests
		fetchFilter.StateOnly = false
	}
	var responses []admin.Response[timeline.TimedPage]
	unaddressed, err := queryFleet(command, &f.addressFlags, func(c *admin.Client) { responses = c.Timeline(command.Context(), fetchFilter) })
	if err != nil {
		return err
	}
	pages, failures := splitResponses(responses, unaddressed)
	report := timelineReport{Merged: timeline.Merge(pages), Failures: failures}
	if f.plot != "" {
		if err := f.writePlot(report.Merged); err != nil {
			return err
		}
		report.Events = selectEvents(report.Events, timeline.Filter{StateOnly: filter.StateOnly})
	}
	if f.json {
		err = writeJSON(command.OutOrStdout(), report)
	} else {
		err = writeTimeline(command.OutOrStdout(), &report, f.maxEvents)
	}
	if err == nil && len(failures) > 0 {
		return errInstancesMissing
	}
	return err
}

// selectEvents returns the events that the filter accepts, in the same order.
func selectEvents(events []timeline.Event, f timeline.Filter) []timeline.Event {
	var selected []timeline.Event
	for i := range events {
		if f.Accepts(&events[i]) {
			selected = append(selected, events[i])
		}
	}
	return selected
}

// writePlot writes the plot to the file of --plot. It removes the file on failure.
func (f *timelineFlags) writePlot(merged timeline.Merged) error {
	if err := writeFile(f.plot, f.plotWriter(merged)); err != nil {
		_ = os.Remove(f.plot) // the first error is the cause
		return err
	}
	return nil
}
