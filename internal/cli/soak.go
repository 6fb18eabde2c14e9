package cli

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/soak"
)

// errSoakViolations is the error of a soak in which invariants were violated.
var errSoakViolations = errors.New("promises were broken")

// soakFlags are the flags of the soak command.
type soakFlags struct {
	soak.Options
	seeds int
	keep  bool
}

func newSoakCommand() *cobra.Command {
	flags := new(soakFlags)
	command := &cobra.Command{
		Use:   "soak --program PATH",
		Short: "Run instances as processes, inject faults from outside, and check what callers and targets see",
		Long: `Run instances as processes, inject faults from outside, and check what callers and targets see.

Each seed is one run: first planned work only, then planned work with overlapping faults. Signals and loopback proxies
inject the faults. All processes end with the run. Logs of runs with violations are kept.`,
		Example: `  go build -o target/ ./cmd/... && target/dogwoodroute soak --program target/dogwoodroute-edge --seed 1 --seeds 50`,
		Args:    usage(cobra.NoArgs),
		RunE:    func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	f := command.Flags()
	f.StringVar(&flags.Program, "program", "", "path of dogwoodroute-edge")
	f.StringVar(&flags.Directory, "directory", filepath.Join(os.TempDir(), "dogwoodroute-soak"), "directory for settings and logs")
	f.Uint64Var(&flags.Seed, "seed", 1, "first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of seeds")
	f.IntVar(&flags.Instances, "instances", 6, "number of processes")
	f.IntVar(&flags.Targets, "targets", 12, "number of fake targets")
	f.IntVar(&flags.Callers, "callers", 40, "number of callers")
	f.DurationVar(&flags.Planned, "planned", 14*time.Second, "duration of the phase with planned work only")
	f.DurationVar(&flags.Faults, "faults", 12*time.Second, "duration of the phase with faults")
	f.BoolVar(&flags.CheckTimeBounds, "timed", true, "also check the invariants with a time limit")
	f.BoolVar(&flags.keep, "keep", false, "keep the logs of all runs")
	_ = command.MarkFlagRequired("program") // fails only for an unknown flag
	return command
}

func (f *soakFlags) run(command *cobra.Command) error {
	failed := 0
	for seed := f.Seed; seed < f.Seed+uint64(f.seeds); seed++ {
		o := f.Options
		o.Seed, o.Directory = seed, filepath.Join(f.Directory, fmt.Sprintf("seed-%d-%d", seed, os.Getpid()))
		result, err := soak.Run(command.Context(), o)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		_, _ = fmt.Fprintln(command.OutOrStdout(), soakText(result))
		if len(result.Violations) > 0 {
			failed++
			_, _ = fmt.Fprintf(command.OutOrStdout(), "  logs: %s\n", o.Directory)
		} else if !f.keep {
			if err := os.RemoveAll(o.Directory); err != nil {
				return errors.Wrap(err, "remove logs")
			}
		}
	}
	if failed > 0 {
		return errors.Wrapf(errSoakViolations, "%d of %d seeds", failed, f.seeds)
	}
	return nil
}

func soakText(r *soak.Result) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d: %d requests, %d served, %d arrivals at targets, %d stalls of the machine;", r.Seed, r.Requests, r.Served, r.Runs, r.Stalls)
	for _, name := range slices.Sorted(maps.Keys(r.Events)) {
		_, _ = fmt.Fprintf(&b, " %s %d,", name, r.Events[name])
	}
	text := strings.TrimSuffix(b.String(), ",")
	if len(r.Violations) == 0 {
		return text + ": all promises kept"
	}
	return text + ": BROKEN\n  " + strings.Join(r.Violations, "\n  ")
}
