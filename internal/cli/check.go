package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/admin"
	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

var (
	errNoCommand = errors.New("a command is required")
	errProblems  = errors.New("the document would be refused")
)

// checkReport is the output of the check command. An empty list of problems means
// that the document is valid.
type checkReport struct {
	File string `json:"file"`
	// Version, Digest, Routes and Pools are 0 or empty if the document cannot be
	// parsed.
	Version  uint64          `json:"version,omitempty"`
	Digest   string          `json:"digest,omitempty"`
	Routes   int             `json:"routes"`
	Pools    int             `json:"pools"`
	Problems []admin.Problem `json:"problems"`
}

func newCheckCommand() *cobra.Command {
	var against string
	var asJSON bool
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration document without serving it",
		Long: `Check a configuration document, which contains the route and pool tables, without serving it.

Every problem is printed with its line, column and field. With --against, the version must also be higher than that
of a second document, such as the one in force. The exit code is 1 when the document would be refused.`,
		Example: `  dogwoodroute check tables.json
  dogwoodroute check tables.json --against in-force.json
  dogwoodroute check tables.json --json`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			report, err := check(args[0], against)
			if err != nil {
				return err
			}
			return report.print(command.OutOrStdout(), asJSON)
		},
	}
	command.Flags().StringVar(&against, "against", "", "the version must be higher than that of this document")
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

// check reads and validates a document. If against is not empty, the version must
// be higher than that of the document in this second file. Problems of the
// document are part of the report; an error means that a file could not be read
// or that the second document is invalid.
func check(file, against string) (*checkReport, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	report := &checkReport{File: file, Problems: []admin.Problem{}}
	document, err := tables.Parse(source)
	if err != nil {
		report.Problems = admin.Problems(err)
		return report, nil
	}
	report.Version, report.Digest = document.Version, document.Digest()
	report.Routes, report.Pools = len(document.Routes), len(document.Pools)
	if against == "" {
		return report, nil
	}
	problem, err := compareVersions(document, against)
	if problem != nil {
		report.Problems = append(report.Problems, *problem)
	}
	return report, err
}

// compareVersions returns a problem if the document's version is not higher than
// that of the document in the file, and nil otherwise.
func compareVersions(document *tables.Document, file string) (*admin.Problem, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document to compare with")
	}
	other, err := tables.Parse(source)
	if err != nil {
		return nil, errors.Wrapf(err, "document to compare with, %s", file)
	}
	if document.Version > other.Version {
		return nil, nil
	}
	locator, err := jsonc.Decode(document.Source(), new(tables.Document))
	if err != nil {
		return nil, errors.Wrap(err, "locate version")
	}
	return &admin.Problems(locator.Errorf("version", "version %d is not higher than %d in %s",
		document.Version, other.Version, file))[0], nil
}

// print writes the report and returns errProblems if it contains problems.
func (r *checkReport) print(w io.Writer, asJSON bool) error {
	var err error
	switch {
	case asJSON:
		err = writeJSON(w, r)
	case len(r.Problems) == 0:
		_, err = fmt.Fprintf(w, "version %d, digest %s: %d routes, %d pools\n", r.Version, r.Digest, r.Routes, r.Pools)
	default:
		for _, problem := range r.Problems {
			if _, err = fmt.Fprintf(w, "%s: %s\n", r.File, problemText(problem)); err != nil {
				break
			}
		}
	}
	if err == nil && len(r.Problems) > 0 {
		return errProblems
	}
	return errorsWrap(err, "print result")
}
