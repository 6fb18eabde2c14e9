package cli

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodroute/dogwoodroute/caller"
)

var errNoInstance = errors.New("--instance is required")

func newSendCommand() *cobra.Command {
	var seeds []string
	var data string
	var timeout time.Duration
	request := caller.Request{Header: make(http.Header)}
	command := &cobra.Command{
		Use:   "send PATH",
		Short: "Send one request as a caller",
		Long: "Send one request as a caller and print the body of the target's response.\n" +
			"A request to a non-idempotent route is sent with a ticket and runs at most once.",
		Example: `  dogwoodroute send /prices/today --instance 10.0.0.1:8080
  dogwoodroute send /status --instance 10.0.0.1:8080,10.0.0.2:8080 --method HEAD`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			if len(seeds) == 0 {
				return usageError{errNoInstance}
			}
			client := caller.New(caller.Options{Seeds: seeds, Timeout: timeout})
			defer client.Close()
			request.Path, request.Body = args[0], []byte(data)
			response, err := client.Do(command.Context(), &request)
			if err != nil {
				return err
			}
			if _, err = command.OutOrStdout().Write(response.Body); err != nil {
				return errors.Wrap(err, "write response body")
			}
			return nil
		},
	}
	command.Flags().StringSliceVar(&seeds, "instance", nil, "caller address of an instance to resolve at (IP:PORT, repeatable)")
	command.Flags().StringVar(&request.Method, "method", http.MethodGet, "HTTP method")
	command.Flags().StringVar(&data, "data", "", "request body")
	command.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "time limit of the request")
	// The client sends an idempotent request without a ticket. A non-idempotent
	// route refuses such a request as not run, and the client retries it with a
	// ticket. The first attempt is thus safe on any route.
	request.Idempotent = true
	return command
}
