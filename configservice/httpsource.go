package configservice

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// ErrUnchanged is returned by Watch if the value did not change during the wait.
var ErrUnchanged = errors.New("value is unchanged")

// Bounds of one call.
const (
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	readTimeout   = 2 * time.Second
	watchWait     = 20 * time.Second // sent to the service as wait_ms
	watchSlack    = 2 * time.Second  // time for the response after watchWait
	idleTimeout   = 30 * time.Second

	maxHeaderBytes = 16 << 10
)

// HTTPSource is a Source that uses HTTP long polling. It is safe for concurrent use.
type HTTPSource struct {
	url    *url.URL
	client *http.Client
}

// NewHTTPSource returns a source of the value at rawURL. It makes no call.
func NewHTTPSource(rawURL string) (*HTTPSource, error) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return nil, errors.Wrapf(err, "parse URL %q", rawURL)
	}
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes},
		// Redirects are not part of the protocol and would lead to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTPSource{url: u, client: client}, nil
}

// Close closes idle connections.
func (s *HTTPSource) Close() { s.client.CloseIdleConnections() }

// Read implements Source.
func (s *HTTPSource) Read(ctx context.Context) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.get(ctx, s.url.String(), "")
}

// Watch implements Source.
func (s *HTTPSource) Watch(ctx context.Context, tag string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	u := *s.url
	query := u.Query()
	query.Set("wait_ms", strconv.FormatInt(watchWait.Milliseconds(), 10))
	u.RawQuery = query.Encode()
	return s.get(ctx, u.String(), tag)
}

// get makes one call. tag is empty for a read. The status 304 is allowed only in
// the response to a watch.
func (s *HTTPSource) get(ctx context.Context, address, tag string) (Value, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Value{}, &SourceError{Step: StepRequest, Peer: s.url.Host, Err: err}
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Value{}, &SourceError{Step: StepRequest, Peer: s.url.Host, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	fail := func(step Step, err error) (Value, error) {
		return Value{}, &SourceError{Step: step, Peer: s.url.Host, Status: response.StatusCode, Err: err}
	}
	if response.StatusCode == http.StatusNotModified && tag != "" {
		return Value{}, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return fail(StepStatus, nil)
	}
	if response.ContentLength > MaxValueBytes {
		return fail(StepSize, errors.Errorf("%d bytes announced, at most %d are allowed", response.ContentLength, MaxValueBytes))
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return fail(StepBody, err)
	}
	if len(data) > MaxValueBytes {
		return fail(StepSize, errors.Errorf("more than %d bytes", MaxValueBytes))
	}
	return Value{Data: data, Tag: response.Header.Get("ETag")}, nil
}
