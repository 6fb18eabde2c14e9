package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// replayFlags are the flags of the replay command.
type replayFlags struct {
	workload string
	seed     uint64
	duration time.Duration
	write    string
	policies []string
	json     bool
}

func newReplayCommand() *cobra.Command {
	flags := new(replayFlags)
	command := &cobra.Command{
		Use:   "replay [TRACE]",
		Short: "Replay a trace through the decision code and the baselines, in virtual time",
		Long: `Replay a trace through the decision code and the baselines, in virtual time.

The trace is a file written by "bench --record" or "replay --write", or is generated from a workload and a seed.
The same trace gives the same figures on every machine.`,
		Example: `  dogwoodroute replay --workload instituto --seed 7
  dogwoodroute replay trace.json --json`,
		Args: usage(cobra.MaximumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args) },
	}
	command.Flags().StringVar(&flags.workload, "workload", "", "generate this workload instead of reading a trace: "+strings.Join(workloadNames(), ", "))
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the generated workload")
	command.Flags().DurationVar(&flags.duration, "for", 0, "length of the generated workload (default: the workload's own)")
	command.Flags().StringVar(&flags.write, "write", "", "write the trace to this file and do not run it")
	command.Flags().StringSliceVar(&flags.policies, "policy", nil, "run only these policies (default: all)")
	command.Flags().BoolVar(&flags.json, "json", false, "print the results as JSON")
	return command
}

func workloadNames() []string {
	var names []string
	for _, w := range replay.Workloads(0) {
		names = append(names, w.Name)
	}
	return names
}

func (f *replayFlags) run(command *cobra.Command, args []string) error {
	trace, err := f.trace(args)
	if err != nil {
		return err
	}
	if f.write != "" {
		return writeFile(f.write, trace.Write)
	}
	policies := replay.Policies
	if len(f.policies) > 0 {
		policies = nil
		for _, name := range f.policies {
			policies = append(policies, replay.Policy(name))
		}
	}
	results, err := replay.Compare(trace, policies, func(p replay.Policy) {
		_, _ = fmt.Fprintf(command.ErrOrStderr(), "replaying %s: %s\n", trace.Name, p)
	})
	if err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(command.OutOrStdout()).Encode(results)
	}
	return replay.WriteTable(command.OutOrStdout(), results)
}

// trace reads the trace from the file in args or generates it from --workload.
func (f *replayFlags) trace(args []string) (*replay.Trace, error) {
	if (len(args) == 1) == (f.workload != "") {
		return nil, usageError{errors.New("give either a trace file or --workload")}
	}
	if len(args) == 1 {
		file, err := os.Open(args[0])
		if err != nil {
			return nil, errors.Wrap(err, "open trace")
		}
		defer func() { _ = file.Close() }()
		return replay.Read(file)
	}
	for _, w := range replay.Workloads(f.seed) {
		if w.Name == f.workload {
			if f.duration > 0 {
				w.Duration = f.duration
			}
			return replay.Generate(w), nil
		}
	}
	return nil, usageError{errors.Errorf("workload %q does not exist; known: %s", f.workload, strings.Join(workloadNames(), ", "))}
}

// writeFile creates or truncates a file and writes its content with write. After an
// error the file may be incomplete.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "close file")
	}
	return nil
}
