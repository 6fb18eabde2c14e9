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

// Bounds of what the client reads.
const (
	maxAnswerBytes  = 64 << 20
	maxMessageBytes = 512
)

// Client asks many instances at once. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client. Close frees its connections.
func NewClient(o ClientOptions) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.Concurrency = cmp.Or(o.Concurrency, DefaultConcurrency)
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{options: o, http: &http.Client{Transport: o.transport()}}
}

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status asks every instance for its status. Answers are in the order of the addresses.
func (c *Client) Status(ctx context.Context) []Response[Status] {
	return askAll(ctx, c, func(ctx context.Context, address string) (Status, *InstanceError) {
		var s Status
		err := c.get(ctx, address, PathStatus, nil, &s, http.StatusOK)
		return s, err
	})
}

// askAll calls ask for each address, a bounded number at a time.
func askAll[T any](ctx context.Context, c *Client, ask func(context.Context, string) (T, *InstanceError)) []Response[T] {
	answers := make([]Response[T], len(c.options.Addresses))
	var group errgroup.Group
	group.SetLimit(c.options.Concurrency)
	for i, address := range c.options.Addresses {
		group.Go(func() error {
			value, err := ask(ctx, address)
			answers[i] = Response[T]{Address: address, Value: value, Err: err}
			if c.options.OnInstanceDone != nil {
				c.options.OnInstanceDone()
			}
			return nil
		})
	}
	_ = group.Wait() // errors are in the answers
	return answers
}

// get reads one JSON value. Statuses that are not accepted are errors.
func (c *Client) get(ctx context.Context, address, path string, query url.Values, value any, accepted ...int) *InstanceError {
	failed := &InstanceError{Address: address, Path: path}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	u := url.URL{Scheme: c.options.scheme(), Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		failed.Step, failed.Err = StepBuild, err
		return failed
	}
	response, err := c.http.Do(request)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) { // the address and the path are in failed
			err = wrapped.Err
		}
		failed.Step, failed.Err = StepSend, err
		return failed
	}
	defer func() { _ = response.Body.Close() }()
	for _, status := range accepted {
		if response.StatusCode == status {
			if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(value); err != nil {
				failed.Step, failed.Status, failed.Err = StepDecode, status, err
				return failed
			}
			return nil
		}
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes)) // the status says enough
	failed.Step, failed.Status = StepStatus, response.StatusCode
	failed.Err = errors.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(message)))
	return failed
}
