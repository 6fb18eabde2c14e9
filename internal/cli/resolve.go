package cli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/entry"
)

func newResolveCommand() *cobra.Command {
	var instance, failureDomain string
	var asJSON bool
	command := &cobra.Command{
		Use:   "resolve",
		Short: "Show which instances a caller would use",
		Long:  "Show which instances a caller would use, with the share of its requests that each one gets.",
		Example: `  dogwoodroute resolve --instance 10.0.0.1:8080
  dogwoodroute resolve --instance 10.0.0.1:8080 --failure-domain poa-a --json`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if instance == "" {
				return usageError{errNoInstance}
			}
			stop := startProgress(command.ErrOrStderr(), func() string { return "waiting for " + instance })
			defer stop()
			client := caller.New(caller.Options{Seeds: []string{instance}, FailureDomain: failureDomain})
			resolution, err := client.Resolve(command.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), resolution)
			}
			return writeResolution(command.OutOrStdout(), resolution)
		},
	}
	command.Flags().StringVar(&instance, "instance", "", "caller address of the instance to resolve at (IP:PORT)")
	command.Flags().StringVar(&failureDomain, "failure-domain", "", "failure domain of the caller")
	command.Flags().BoolVar(&asJSON, "json", false, "print the response as JSON")
	return command
}

func writeResolution(w io.Writer, r entry.Resolution) error {
	total := 0.0
	for _, instance := range r.Instances {
		total += instance.Weight
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tADDRESS\tFAILURE DOMAIN\tSHARE") // Flush reports errors
	for _, instance := range r.Instances {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.1f%%\n", instance.ID, instance.Address, instance.FailureDomain,
			100*instance.Weight/max(total, 1e-9))
	}
	_, _ = fmt.Fprintf(table, "valid for %d ms\n", r.ValidForMillis)
	return errorsWrap(table.Flush(), "print instances")
}
