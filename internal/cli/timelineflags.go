package cli

import (
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/timeplot"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// defaultMaxEvents fits on one screen together with the command and the summary line.
const defaultMaxEvents = 40

// timelineFlags are the flags of the timeline command.
type timelineFlags struct {
	addressFlags
	request   string
	from, to  string
	last      time.Duration
	stateOnly bool
	maxEvents int
	plot      string
	json      bool
}

func (f *timelineFlags) add(command *cobra.Command) {
	f.addressFlags.add(command)
	flags := command.Flags()
	flags.StringVar(&f.request, "request", "", "show the steps of this request")
	flags.StringVar(&f.from, "from", "", "earliest time, RFC 3339, on this machine's clock")
	flags.StringVar(&f.to, "to", "", "latest time, RFC 3339, on this machine's clock")
	flags.DurationVar(&f.last, "last", 0, "show the time from this long ago until now, such as 10s")
	flags.BoolVar(&f.stateOnly, "state-only", true, "omit steps of requests; has no effect with --request")
	flags.IntVar(&f.maxEvents, "most", defaultMaxEvents, "print at most this many events, the newest")
	flags.StringVar(&f.plot, "plot", "", "write a plot to this file (.svg or .png)")
	flags.BoolVar(&f.json, "json", false, "print all events as JSON")
}

// buildFilter validates the flags and returns the filter that they describe, or a
// usage error.
func (f *timelineFlags) buildFilter(command *cobra.Command) (timeline.Filter, error) {
	filter := timeline.Filter{Request: f.request, StateOnly: f.stateOnly && f.request == ""}
	if err := f.validate(command); err != nil {
		return filter, usageError{err}
	}
	for _, bound := range []struct {
		name, text string
		at         *time.Time
	}{{"from", f.from, &filter.From}, {"to", f.to, &filter.To}} {
		if bound.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, bound.text)
		if err != nil {
			return filter, usageError{errors.Wrapf(err, "--%s", bound.name)}
		}
		*bound.at = at
	}
	if !filter.From.IsZero() && !filter.To.IsZero() && filter.To.Before(filter.From) {
		return filter, usageError{errors.New("--to is before --from")}
	}
	if f.last > 0 {
		filter.From = time.Now().Add(-f.last)
	}
	return filter, nil
}

func (f *timelineFlags) validate(command *cobra.Command) error {
	switch {
	case command.Flags().Changed("last") && f.last <= 0:
		return errors.New("--last must be above 0")
	case f.last > 0 && (f.from != "" || f.to != ""):
		return errors.New("give either --last or --from and --to")
	case f.maxEvents < 1:
		return errors.New("--most must be at least 1")
	case f.plot != "" && f.format() != timeplot.SVG && f.format() != timeplot.PNG:
		return errors.Errorf("--plot: the name of %s must end in .svg or .png", f.plot)
	}
	return nil
}

// format returns the format given by the extension of --plot, in lower case. The
// result may be an unsupported format.
func (f *timelineFlags) format() timeplot.Format {
	return timeplot.Format(strings.TrimPrefix(strings.ToLower(filepath.Ext(f.plot)), "."))
}

func (f *timelineFlags) plotWriter(merged timeline.Merged) func(io.Writer) error {
	return func(w io.Writer) error { return timeplot.Draw(w, merged, f.format()) }
}
