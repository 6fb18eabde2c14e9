package cli

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit codes of all commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks an error in the arguments or flags. Its exit code is exitUsage.
type usageError struct{ error }

// Main runs a command, prints its error on standard error and returns the exit
// code: 0 for success, 1 for failure, 2 for an invalid command line.
func Main(command *cobra.Command) int {
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	failed, err := command.ExecuteContextC(context.Background())
	if err == nil {
		return exitOK
	}
	stderr := failed.ErrOrStderr()
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", failed.CommandPath(), err) // there is nowhere to report a write error
	var usage usageError
	if errors.As(err, &usage) {
		_, _ = fmt.Fprintf(stderr, "Run '%s --help' for usage.\n", failed.CommandPath())
		return exitUsage
	}
	return exitFailed
}

// usage wraps an argument check so that its errors are usage errors.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
