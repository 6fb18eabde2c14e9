package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Limits on the bytes that the client reads of a response and of an error message.
const (
	maxResponseBytes = 64 << 20
	maxMessageBytes  = 512
)

// Client queries the administration API of several instances concurrently. It is
// safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client with defaults for unset options. The caller must call
// Close when done.
func NewClient(o ClientOptions) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.Concurrency = cmp.Or(o.Concurrency, DefaultConcurrency)
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{options: o, http: &http.Client{Transport: o.transport()}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status gets the status of every instance. The responses are in the order of
// ClientOptions.Addresses.
func (c *Client) Status(ctx context.Context) []Response[Status] {
	return queryAll(ctx, c, func(ctx context.Context, address string) (Status, *InstanceError) {
		var s Status
		err := c.get(ctx, address, PathStatus, nil, &s, http.StatusOK)
		return s, err
	})
}

// queryAll calls query for every address, with at most ClientOptions.Concurrency
// calls at a time.
func queryAll[T any](ctx context.Context, c *Client, query func(context.Context, string) (T, *InstanceError)) []Response[T] {
	responses := make([]Response[T], len(c.options.Addresses))
	var group errgroup.Group
	group.SetLimit(c.options.Concurrency)
	for i, address := range c.options.Addresses {
		group.Go(func() error {
			value, err := query(ctx, address)
			responses[i] = Response[T]{Address: address, Value: value, Err: err}
			if c.options.OnInstanceDone != nil {
				c.options.OnInstanceDone()
			}
			return nil
		})
	}
	_ = group.Wait() // errors are in the responses
	return responses
}

// get sends a GET request and decodes the JSON response into value. A status that
// is not in acceptedStatuses is an error.
func (c *Client) get(ctx context.Context, address, path string, query url.Values, value any, acceptedStatuses ...int) *InstanceError {
	instanceErr := &InstanceError{Address: address, Path: path}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	u := url.URL{Scheme: c.options.scheme(), Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		instanceErr.Step, instanceErr.Err = StepBuild, err
		return instanceErr
	}
	response, err := c.http.Do(request)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) { // instanceErr already contains address and path
			err = wrapped.Err
		}
		instanceErr.Step, instanceErr.Err = StepSend, err
		return instanceErr
	}
	defer func() { _ = response.Body.Close() }()
	for _, status := range acceptedStatuses {
		if response.StatusCode == status {
			if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value); err != nil {
				instanceErr.Step, instanceErr.Status, instanceErr.Err = StepDecode, status, err
				return instanceErr
			}
			return nil
		}
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes)) // without a message, the status is reported alone
	instanceErr.Step, instanceErr.Status = StepStatus, response.StatusCode
	instanceErr.Err = errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(message)))
	return instanceErr
}
