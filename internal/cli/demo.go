package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/demo"
)

// errInvariantBroken is the error of a demo or bench run that violated an invariant.
var errInvariantBroken = errors.New("an invariant is broken")

func newDemoCommand() *cobra.Command {
	return demoCommand(&demo.Options{})
}

// demoCommand returns the demo command, whose flags are stored in options.
func demoCommand(options *demo.Options) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet in this process, with faults, and check the invariants",
		Long: `Run a small fleet in this process, with faults, and check the invariants.

Four instances, eight targets and many callers communicate over loopback. Meanwhile an operator closes and opens a route,
targets drain and fail, one instance stops as planned, and the configuration service goes down for a while. At the end
each invariant of the system is checked against the records of callers, targets and instances. The exit code is 1 when
one is broken. Nothing is installed and nothing outside of this process is changed.`,
		Example: `  dogwoodroute demo
  dogwoodroute demo --for 30s --seed 7 --json`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return runDemo(command, options, asJSON) },
	}
	command.Flags().DurationVar(&options.Duration, "for", demo.DefaultDuration, "length of the load")
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of arrivals, service times and bodies")
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

func runDemo(command *cobra.Command, options *demo.Options, asJSON bool) error {
	if err := options.Validate(); err != nil {
		return usageError{err}
	}
	options.Progress = progressPrinter(command.ErrOrStderr())
	result, err := demo.Run(command.Context(), *options)
	if err != nil {
		return err
	}
	if asJSON {
		err = writeJSON(command.OutOrStdout(), result)
	} else {
		err = result.WriteText(command.OutOrStdout())
	}
	if err == nil && !checker.AllHold(result.Verdicts) {
		return errInvariantBroken
	}
	return err
}

// progressPrinter returns a function that prints a line of progress with the time
// since the first arrival.
func progressPrinter(w io.Writer) func(time.Duration, string) {
	return func(at time.Duration, text string) {
		_, _ = fmt.Fprintf(w, "%5.1f s  %s\n", at.Seconds(), text) // progress is best effort
	}
}
