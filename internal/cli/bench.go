package cli

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/bench"
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
)

// benchFlags are the flags of the bench command.
type benchFlags struct {
	options bench.Options
	json    bool
	record  string
}

func newBenchCommand() *cobra.Command {
	flags := new(benchFlags)
	command := &cobra.Command{
		Use:   "bench SCENARIO",
		Short: "Run a scenario in this process and replay baselines on the same arrivals",
		Long: `Run a scenario in this process and replay baselines on the same arrivals.

Instances, targets and callers communicate over loopback. The baselines and the ideal central queue are not run live:
they are replayed in virtual time on the arrivals of the run. The exit code is 1 when an invariant is broken.

Scenarios:
` + scenarioList(),
		Example: `  dogwoodroute bench crest --seed 7
  dogwoodroute bench mixed --for 20s --record trace.json`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	command.Flags().DurationVar(&flags.options.Duration, "for", 0, "length of the arrivals (default: the scenario's own)")
	command.Flags().Uint64Var(&flags.options.Seed, "seed", 1, "seed of arrivals, service times and bodies")
	command.Flags().BoolVar(&flags.json, "json", false, "print the result as JSON")
	command.Flags().StringVar(&flags.record, "record", "", "write the trace of the run to this file, for the replay command")
	return command
}

func scenarioList() string {
	var text strings.Builder
	for _, s := range bench.Scenarios() {
		fmt.Fprintf(&text, "  %-11s %s\n", s.Name, s.Summary)
	}
	fmt.Fprintf(&text, "  %-11s %s", overheadScenario, "latency and CPU time that one instance adds to direct calls at 1,600 calls/s, and its memory")
	return text.String()
}

// overheadScenario is handled separately: it measures a single instance, not a
// fleet under load, and is not in bench.Scenarios.
const overheadScenario = "overhead"

func (f *benchFlags) runOverhead(command *cobra.Command) error {
	if f.record != "" {
		return usageError{errors.New("overhead has no trace to record")}
	}
	result, err := bench.Overhead(command.Context(), f.options)
	if err != nil {
		return err
	}
	if f.json {
		return writeJSON(command.OutOrStdout(), result)
	}
	return result.WriteText(command.OutOrStdout())
}

func (f *benchFlags) run(command *cobra.Command, name string) error {
	if err := f.options.Validate(); err != nil {
		return usageError{err}
	}
	f.options.Progress = progressPrinter(command.ErrOrStderr())
	if name == overheadScenario {
		return f.runOverhead(command)
	}
	scenario, ok := bench.Find(name)
	if !ok {
		return usageError{errors.Errorf("scenario %q does not exist; see dogwoodroute bench --help", name)}
	}
	result, err := bench.Run(command.Context(), scenario, f.options)
	if err != nil {
		return err
	}
	if f.record != "" {
		if err := writeFile(f.record, result.Trace.Write); err != nil {
			return err
		}
	}
	if f.json {
		err = writeJSON(command.OutOrStdout(), result)
	} else {
		err = result.WriteText(command.OutOrStdout())
	}
	if err == nil && !checker.AllHold(result.Verdicts) {
		return errInvariantBroken
	}
	return err
}
