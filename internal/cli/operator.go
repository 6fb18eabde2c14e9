package cli

import "github.com/spf13/cobra"

// NewOperatorCommand returns the root command of dogwoodroute with all subcommands.
func NewOperatorCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "dogwoodroute",
		Short: "Check tables, query instances, and send requests as a caller",
		Long: `Check tables, query instances, and send requests as a caller.

Exit codes: 0 success, 1 failure, 2 invalid command line.`,
		Example: `  dogwoodroute check tables.json
  dogwoodroute status --instances-url http://10.0.0.9:7000/instances
  dogwoodroute timeline --instances-url http://10.0.0.9:7000/instances --last 10m`,
		Version: version(),
		Args:    usage(cobra.NoArgs),
		RunE:    func(command *cobra.Command, _ []string) error { return usageError{errNoCommand} },
	}
	bench := newBenchCommand()
	bench.AddCommand(newCapacityCommand())
	command.AddCommand(newCheckCommand(), newStatusCommand(), newTimelineCommand(), newResolveCommand(),
		newSendCommand(), newExplainCommand(), newReplayCommand(), newDemoCommand(), newSoakCommand(), bench)
	return command
}
