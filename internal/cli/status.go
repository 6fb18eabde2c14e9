package cli

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/admin"
)

// Errors of the status command after a report has been printed.
var (
	errInstancesMissing = errors.New("not every instance could be asked")
	errVersionsDiffer   = errors.New("instances have different configurations in force")
)

// statusReport is the output of the status command.
type statusReport struct {
	Instances     []admin.Status       `json:"instances"`
	Failures      []instanceFailure    `json:"failures"`
	Disagreements []admin.Disagreement `json:"disagreements"`
}

func newStatusCommand() *cobra.Command {
	flags := new(addressFlags)
	var asJSON bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Query the status of every instance and show where they disagree",
		Long: `Query the status of every instance and show where they disagree.

The exit code is 1 when an instance cannot be queried, or when versions or digests of the configuration differ.`,
		Example: `  dogwoodroute status --admin 10.0.0.1:8082,10.0.0.2:8082
  dogwoodroute status --instances-url http://10.0.0.9:7000/instances
  dogwoodroute status --instances-url http://10.0.0.9:7000/instances --json`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return runStatus(command, flags, asJSON) },
	}
	flags.add(command)
	command.Flags().BoolVar(&asJSON, "json", false, "print everything as JSON")
	return command
}

func runStatus(command *cobra.Command, flags *addressFlags, asJSON bool) error {
	var responses []admin.Response[admin.Status]
	unaddressed, err := queryFleet(command, flags, func(c *admin.Client) { responses = c.Status(command.Context()) })
	if err != nil {
		return err
	}
	var report statusReport
	report.Instances, report.Failures = splitResponses(responses, unaddressed)
	slices.SortFunc(report.Instances, func(a, b admin.Status) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	report.Disagreements = admin.Compare(report.Instances)
	if asJSON {
		err = writeJSON(command.OutOrStdout(), report)
	} else {
		err = writeStatus(command.OutOrStdout(), &report)
	}
	if err != nil {
		return err
	}
	return report.exitError()
}

// exitError returns the error with which the command ends: an instance is missing
// from the report, or configurations differ. It returns nil otherwise.
// Disagreements on other subjects are not errors.
func (r *statusReport) exitError() error {
	if len(r.Failures) > 0 {
		return errInstancesMissing
	}
	for _, d := range r.Disagreements {
		if d.Subject == admin.SubjectVersion {
			return errVersionsDiffer
		}
	}
	return nil
}
