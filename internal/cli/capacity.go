package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/internal/capacity"
)

func newCapacityCommand() *cobra.Command {
	var options capacity.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how the cost of each part of a fleet grows with its size",
		Long: `Measure how the cost of each part of a fleet grows with its size.

Small fleets and fake targets run in this process over loopback, and a line is fitted to each cost. The figures
depend on the machine and its load: compare them only with others of the same run.`,
		Example: `  dogwoodroute bench capacity
  dogwoodroute bench capacity --for 60s --json`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			options.Progress = func(text string) { _, _ = fmt.Fprintln(command.ErrOrStderr(), text) }
			report, err := capacity.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), report)
			}
			return capacity.WriteTable(command.OutOrStdout(), report)
		},
	}
	command.Flags().DurationVar(&options.Duration, "for", capacity.DefaultDuration, "time after which no further measurement is started")
	command.Flags().IntSliceVar(&options.Targets, "targets", nil, "numbers of targets (default 20,40,80,160,320,560)")
	command.Flags().IntSliceVar(&options.Instances, "instances", nil, "numbers of instances (default 5,10,20,40)")
	command.Flags().BoolVar(&asJSON, "json", false, "print the measurements as JSON")
	return command
}
