package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/gateway"
)

const (
	// explainTimeout bounds the query of the instance, which answers from memory.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds its answer, which has some hundred bytes for each candidate.
	maxExplanationBytes = 1 << 20
)

var errNothingToExplain = errors.New("--metrics, --host and --path are required")

// explainFlags holds the flag values of the explain command.
type explainFlags struct {
	metrics, host, path string
	timeout             time.Duration
	json                bool
}

func newExplainCommand() *cobra.Command {
	f := new(explainFlags)
	command := &cobra.Command{
		Use:   "explain",
		Short: "Explain where a request would go now, and why, without sending it",
		Long: `Explain where a request would go now, and why, without sending it.

Queries an instance of dogwoodroute-edge on its metrics port. The answer is the instance's own view: route and version in
force, evacuated failure domains, and the targets among which it chooses, with their last load and the reason against each
that would not be chosen. The method of a request and its organisation do not matter for its way. A request would ask some
of the candidates for their load first. The exit code is 1 when no route matches.`,
		Example: `  dogwoodroute explain --metrics 10.0.0.1:9464 --host a.example --path /orders/7
  dogwoodroute explain --metrics 10.0.0.1:9464 --host a.example --path /orders/7 --timeout 2s --json`,
		Args: usage(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return f.run(command) },
	}
	command.Flags().StringVar(&f.metrics, "metrics", "", "metrics address of the instance (IP:PORT)")
	command.Flags().StringVar(&f.host, "host", "", "host of the request")
	command.Flags().StringVar(&f.path, "path", "", "path of the request")
	command.Flags().DurationVar(&f.timeout, "timeout", 0, "time that the caller allows; 0: no limit")
	command.Flags().BoolVar(&f.json, "json", false, "print the answer as JSON")
	return command
}

func (f *explainFlags) run(command *cobra.Command) error {
	if f.metrics == "" || f.host == "" || f.path == "" {
		return usageError{errNothingToExplain}
	}
	x, err := f.query(command)
	if err != nil {
		return err
	}
	if f.json {
		return writeJSON(command.OutOrStdout(), x)
	}
	return writeExplanation(command.OutOrStdout(), x)
}

// query asks the instance.
func (f *explainFlags) query(command *cobra.Command) (*gateway.Explanation, error) {
	query := url.Values{"host": {f.host}, "path": {f.path}}
	if f.timeout > 0 {
		query.Set("timeout_ms", strconv.FormatInt(f.timeout.Milliseconds(), 10))
	}
	address := url.URL{Scheme: "http", Host: f.metrics, Path: "/explain", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(command.Context(), http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "build query of %s", f.metrics)
	}
	client := &http.Client{Timeout: explainTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "query instance %s", f.metrics)
	}
	defer func() { _ = response.Body.Close() }() // read errors are handled below
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of instance %s", f.metrics)
	}
	if response.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(body, &failure) != nil || failure.Error == "" {
			failure.Error = "status " + response.Status
		}
		return nil, errors.Errorf("instance %s: %s", f.metrics, failure.Error)
	}
	x := new(gateway.Explanation)
	if err := json.Unmarshal(body, x); err != nil {
		return nil, errors.Wrapf(err, "decode answer of instance %s", f.metrics)
	}
	return x, nil
}

// writeExplanation prints an explanation as text.
func writeExplanation(w io.Writer, x *gateway.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	print := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) } // Flush reports errors
	print("route %s (prefix %s), rank %d, configuration version %d\n", x.Route, x.Prefix, x.Rank, x.ConfigVersion)
	print("objective %g ms, final response within %g ms, idempotent: %t\n", x.ObjectiveMS, x.TimeoutMS, x.Idempotent)
	if len(x.Regions) > 0 {
		print("handled only in regions %s\n", strings.Join(x.Regions, ", "))
	}
	if len(x.Evacuated) > 0 {
		print("evacuated failure domains: %s\n", strings.Join(x.Evacuated, ", "))
	}
	for _, s := range x.Services {
		print("\nservice %s: %.0f%% of the route's requests, %d targets, mean work %.1f ms\n", s.Service, 100*s.Share, s.Targets, s.MeanWorkMS)
		if s.AdmittedShare < 1 {
			print("short of room: %.0f%% of the route's requests are admitted\n", 100*s.AdmittedShare)
		}
		if s.Unreachable {
			print("no target answers this instance: another one gets the request\n")
		}
		print("wanted: %s\n", s.Requirement)
		if s.Refusal != "" {
			print("would be refused (%s), after a wait of up to %.0f ms\n", s.Refusal, s.MaxWaitMS)
		}
		print("TARGET\tDOMAIN\tRUNNING\tWAITING\tSLOTS\tSLOWNESS\tAGE MS\tEXPECTED MS\tREASON\n")
		for _, c := range s.Candidates {
			reason := c.Reason
			if c.Chosen {
				reason = "chosen"
			}
			if c.Predicted {
				reason += " (load predicted)"
			}
			print("%s\t%s\t%d\t%d\t%d\t%.2f\t%.0f\t%.1f\t%s\n", c.Target, c.FailureDomain, c.Running, c.Waiting, c.Slots, c.Slowness, c.AgeMS,
				c.ExpectedMS, reason)
		}
	}
	return errorsWrap(table.Flush(), "print explanation")
}
