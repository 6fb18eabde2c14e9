package transport

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Defaults and fixed limits.
const (
	DefaultConnectionLimit = 16               // connections per address
	DefaultIdleTimeout     = 30 * time.Second // below the idle timeout of common servers
	DefaultDialTimeout     = time.Second
	DefaultProbeTimeout    = time.Second
	DefaultHeadBytes       = 64 << 10
	// maxInformational limits the 1xx responses before a final response.
	maxInformational = 8
	// maxLateResponses limits the responses to earlier requests that are skipped
	// before a response, and maxLateBytes the body of each.
	maxLateResponses = 2
	maxLateBytes     = 1 << 20
)

// Options configures a Client. All fields have defaults.
type Options struct {
	// ConnectionLimit returns the maximum number of open connections to an address.
	// Values below 1 count as 1. It is called often and must not block. Default:
	// DefaultConnectionLimit for every address.
	ConnectionLimit func(address string) int
	// IdleTimeout is the time after which an idle connection is closed if its target has
	// announced no timeout of its own. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout limits the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// LocalAddress is the IP address from which connections are opened. Not valid: the system
	// chooses it.
	LocalAddress netip.Addr
	// ProbeTimeout limits the time of a probe. Default 1 s.
	ProbeTimeout time.Duration
	// HeadBytes limits the size of a response head in bytes, including preceding 1xx
	// responses. Default 65536.
	HeadBytes int
	// Now returns the time on the clock used by Attempt.Expires and by probe results.
	// Default: the time since NewClient.
	Now func() time.Duration
}

// Client sends attempts over a pool of connections. It is safe for concurrent use.
type Client struct {
	options  Options
	counters counters
	pool     pool
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, DefaultProbeTimeout)
	o.HeadBytes = cmp.Or(o.HeadBytes, DefaultHeadBytes)
	if o.ConnectionLimit == nil {
		o.ConnectionLimit = func(string) int { return DefaultConnectionLimit }
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	c := &Client{options: o}
	c.pool = pool{options: o, counters: &c.counters, dialer: Dialer(o.LocalAddress, o.DialTimeout),
		addresses: make(map[string]*addressPool)}
	return c
}

// Dialer returns a dialer that opens connections from a local IP address, or from one that the
// system chooses if it is not valid.
func Dialer(local netip.Addr, timeout time.Duration) net.Dialer {
	dialer := net.Dialer{Timeout: timeout}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return dialer
}

// Counters returns a snapshot. The counts are read one by one, not atomically.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes idle connections. Attempts that are waiting for a connection and
// later attempts fail with Error.NotSent; attempts in flight continue.
func (c *Client) Close() { c.pool.close() }

// Do sends the attempt and returns once the head of the response has been read.
// The caller must close the body. Until then, the end of the context cancels the
// exchange. Errors are *Error, including those from reading the body.
func (c *Client) Do(ctx context.Context, a *Attempt) (*http.Response, error) {
	if err := a.validate(); err != nil {
		return nil, &Error{Step: StepBuild, Target: a.Target, NotSent: true, Err: err}
	}
	conn, step, err := c.pool.get(ctx, a.Address, a.NewConnection)
	if err != nil {
		return nil, &Error{Step: step, Target: a.Target, NotSent: true, Err: err}
	}
	if a.Expires > 0 && c.options.Now() > a.Expires {
		c.pool.put(conn)
		return nil, &Error{Step: StepSend, Target: a.Target, NotSent: true, Err: ErrExpired}
	}
	if conn.used {
		c.counters.reused.Add(1)
	}
	conn.reused, conn.used = conn.used, true
	stop := context.AfterFunc(ctx, conn.abort)
	response, failed := c.exchange(ctx, conn, a)
	if failed != nil {
		stop()
		c.pool.discard(conn, CloseFailed)
		if cause := ctx.Err(); cause != nil {
			failed.Err = errors.Wrap(cause, failed.Err.Error())
		}
		return nil, failed
	}
	source := response.Body
	response.Body = &body{client: c, target: a.Target, conn: conn, response: response, underlying: source,
		stopCancelWatch: stop, complete: source == http.NoBody, unnamedRefusal: a.isUnnamedRefusal(response)}
	return response, nil
}

// exchange writes the request and reads the head of the response.
func (c *Client) exchange(ctx context.Context, conn *conn, a *Attempt) (*http.Response, *Error) {
	err := conn.begin(ctx)
	if err == nil {
		err = a.writeTo(conn.out)
	}
	if err != nil {
		return nil, &Error{Step: StepSend, Target: a.Target, NotSent: conn.written == 0, Err: err}
	}
	response, err := c.readResponse(conn, a)
	if err != nil {
		return nil, &Error{Step: StepHead, Target: a.Target, Err: err}
	}
	return response, nil
}

// readResponse reads the head of the response to this attempt. It skips late
// responses: a target may send a second response to an earlier request.
func (c *Client) readResponse(conn *conn, a *Attempt) (*http.Response, error) {
	for range maxLateResponses + 1 {
		response, err := c.readHead(conn, a.Method)
		if err != nil {
			return nil, err
		}
		if !a.isLate(response, conn.reused) {
			conn.keepAlive(response.Header)
			return response, nil
		}
		conn.sawLateResponse = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateBytes)); err != nil {
			return nil, errors.Wrap(err, "skip a late response")
		}
		if response.Close {
			return nil, errors.New("the target closes the connection after a late response")
		}
	}
	return nil, errors.New("too many late responses")
}

// readHead reads a response head and skips 1xx responses.
func (c *Client) readHead(conn *conn, method string) (*http.Response, error) {
	conn.request.Method = method
	conn.limitHead, conn.headBytesLeft = true, c.options.HeadBytes
	defer func() { conn.limitHead = false }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(conn.in, &conn.request)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		response.Request = nil                         // conn.request is reused by the next exchange
		if response.StatusCode < http.StatusContinue { // net/http accepts any three digits
			return nil, errors.Errorf("status %q is no HTTP status", response.Status)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols without a request to do so")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many 1xx responses")
}
