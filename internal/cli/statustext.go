package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/admin"
)

// Limits of the text output. JSON output is not limited.
const (
	maxDisagreementLines = 40
	maxProblemLines      = 5
)

// writeStatus prints one line per instance, followed by instances that are missing,
// refused documents, conflicts, aborted requests and disagreements.
func writeStatus(w io.Writer, r *statusReport) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tSTATE\tVERSION\tDIGEST\tMEMBERS\tIN FLIGHT\tREFUSALS") // Flush reports errors
	for i := range r.Instances {
		s := &r.Instances[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d of %d\t%d\t%d (person %d, program %d)\n", s.Instance.ID,
			s.Instance.State, s.Configuration.Version, s.Configuration.Digest, s.Fleet.Live, s.Fleet.MayBeAlive,
			s.InFlight(), s.Refusals.Total(), s.Refusals.Person, s.Refusals.Program)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print status")
	}
	var text strings.Builder
	writeFailures(&text, r.Failures)
	writeConfigurations(&text, r.Instances)
	writeDisagreements(&text, r.Disagreements)
	_, err := io.WriteString(w, text.String())
	return errorsWrap(err, "print status")
}

func writeFailures(text *strings.Builder, failures []instanceFailure) {
	for _, f := range failures {
		fmt.Fprintf(text, "not asked: %s\n", f.Error)
	}
}

// writeConfigurations prints refused documents, conflicting documents and the
// number of requests aborted by a stop, for each instance.
func writeConfigurations(text *strings.Builder, instances []admin.Status) {
	for i := range instances {
		s := &instances[i]
		if refused := s.Configuration.LastRefused; refused != nil {
			fmt.Fprintf(text, "%s refused version %d, digest %s, from %s:\n", s.Instance.ID, refused.Version, refused.Digest, refused.Source)
			for n, problem := range refused.Problems {
				if n == maxProblemLines {
					fmt.Fprintf(text, "  %d more problems\n", len(refused.Problems)-n)
					break
				}
				fmt.Fprintf(text, "  %s\n", problemText(problem))
			}
		}
		for _, c := range s.Configuration.Conflicts {
			fmt.Fprintf(text, "%s saw another document with version %d: digest %s, from %s\n", s.Instance.ID, c.Version, c.Digest, c.Source)
		}
		if s.AbortedRequests > 0 {
			fmt.Fprintf(text, "%s cut off %d requests while it stopped\n", s.Instance.ID, s.AbortedRequests)
		}
	}
}

func writeDisagreements(text *strings.Builder, list []admin.Disagreement) {
	if len(list) == 0 {
		text.WriteString("the instances asked agree\n")
		return
	}
	for n, d := range list {
		if n == maxDisagreementLines {
			fmt.Fprintf(text, "%d more disagreements; --json prints all\n", len(list)-n)
			return
		}
		name := string(d.Subject)
		if d.Subject == admin.SubjectTarget {
			name = fmt.Sprintf("target %s of pool %s", d.Target, d.Pool)
		}
		fmt.Fprintf(text, "disagreement on %s:", name)
		for _, view := range d.Views {
			fmt.Fprintf(text, " [%s: %s]", view.Value, strings.Join(view.Instances, " "))
		}
		text.WriteByte('\n')
	}
}
