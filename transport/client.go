package transport

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Defaults and fixed bounds.
const (
	DefaultConnectionLimit = 16               // connections per address
	DefaultIdleTimeout     = 30 * time.Second // below the idle timeout of common servers
	DefaultDialTimeout     = time.Second
	DefaultProbeTimeout    = time.Second
	DefaultHeadBytes       = 64 << 10
	// maxInformational bounds the 1xx answers before one answer.
	maxInformational = 8
	// maxLateAnswers bounds the answers to earlier requests before one answer,
	// and maxLateBytes the body of each.
	maxLateAnswers = 2
	maxLateBytes   = 1 << 20
)

// Options configure a Client. All fields have defaults.
type Options struct {
	// ConnectionLimit returns the number of connections that may be open to an address.
	// Values below 1 count as 1. It is called often and must not block. Default
	// DefaultLimit for every address.
	ConnectionLimit func(address string) int
	// IdleTimeout bounds the time that a connection stays open unused. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds opening a connection. Default 1 s.
	DialTimeout time.Duration
	// ProbeTimeout bounds one probe. Default 1 s.
	ProbeTimeout time.Duration
	// HeadBytes bounds the head of an answer, 1xx answers included. Default 65536.
	HeadBytes int
	// Now returns the time on the clock of Attempt.Expires and of probe
	// results. Default: the time since NewClient.
	Now func() time.Duration
}

// Client sends attempts. It is safe for concurrent use.
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
	c.pool = pool{options: o, counters: &c.counters, dialer: net.Dialer{Timeout: o.DialTimeout},
		addresses: make(map[string]*addressPool)}
	return c
}

// Counters returns the counts so far.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes idle connections. Attempts that wait for a connection and later
// ones fail as not sent; attempts in flight go on.
func (c *Client) Close() { c.pool.close() }

// Do sends the attempt and returns the head of the answer. The body must be
// closed. The context cancels the attempt until then, and its deadline holds
// for the whole exchange. Errors are *Error, also those of the body.
func (c *Client) Do(ctx context.Context, a *Attempt) (*http.Response, error) {
	if err := a.check(); err != nil {
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
	conn.used = true
	stop := context.AfterFunc(ctx, conn.kill)
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
	response.Body = &body{client: c, target: a.Target, conn: conn, response: response, source: source,
		stop: stop, whole: source == http.NoBody}
	return response, nil
}

// exchange writes the request and reads the head of the answer.
func (c *Client) exchange(ctx context.Context, conn *conn, a *Attempt) (*http.Response, *Error) {
	err := conn.begin(ctx)
	if err == nil {
		err = a.write(conn.out)
	}
	if err != nil {
		return nil, &Error{Step: StepSend, Target: a.Target, NotSent: conn.wrote == 0, Err: err}
	}
	response, err := c.readOwn(conn, a)
	if err != nil {
		return nil, &Error{Step: StepHead, Target: a.Target, Err: err}
	}
	return response, nil
}

// readOwn reads the head of the answer to this attempt. A target may send a
// second answer to an earlier request late; it is read to its end and dropped.
func (c *Client) readOwn(conn *conn, a *Attempt) (*http.Response, error) {
	for range maxLateAnswers + 1 {
		response, err := c.readHead(conn, a.Method)
		if err != nil || a.EchoHeader == "" {
			return response, err
		}
		echo := response.Header.Get(a.EchoHeader)
		if echo == "" || echo == a.Header.Get(a.EchoHeader) {
			conn.keepAlive(response.Header)
			return response, nil
		}
		conn.surplus = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateBytes)); err != nil {
			return nil, errors.Wrap(err, "skip a late answer")
		}
		if response.Close {
			return nil, errors.New("the connection ended with a late answer")
		}
	}
	return nil, errors.New("too many late answers")
}

// readHead reads the answer's head and skips 1xx answers.
func (c *Client) readHead(conn *conn, method string) (*http.Response, error) {
	conn.request.Method = method
	conn.limited, conn.headLeft = true, c.options.HeadBytes
	defer func() { conn.limited = false }()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(conn.in, &conn.request)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		response.Request = nil // it belongs to the connection
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols without being asked")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many 1xx answers")
}
