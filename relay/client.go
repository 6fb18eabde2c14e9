package relay

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/internal/peerconn"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

const (
	// acceptTimeout is the time in which an instance must accept a request, also on a new
	// connection. It answers within milliseconds; a connection that has fallen silent is
	// found before the request could run.
	acceptTimeout = 250 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed. Requests are
	// relayed for as long as a partition lasts, in most cases seconds.
	idleTimeout = 10 * time.Second
	// windowBytes and bufferBytes are the flow control window and the size of each buffer of
	// a connection. One instance at most receives a few responses at a time.
	windowBytes = 256 << 10
	bufferBytes = 8 << 10
)

// errNotAccepted is the failure of a request that an instance did not accept in time.
var errNotAccepted = errors.New("not accepted in time")

// Error is the failure of a request that was sent to an instance.
type Error struct {
	// Step is "connect", "accept", "body" or "response".
	Step string
	Peer netip.Addr
	// NotRun is true if the request has not run there and will not.
	NotRun bool
	Err    error
}

// Error returns the step, the instance and the cause.
func (e *Error) Error() string {
	return "relay, " + e.Step + ", peer " + e.Peer.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests to other instances. It is safe for concurrent use.
type Client struct {
	port     uint16
	identity *secure.Identity

	mu     sync.Mutex
	conns  map[netip.Addr]*grpc.ClientConn
	closed bool
}

// NewClient returns a client for instances that listen on a port. identity secures the
// connections with mTLS; nil means plaintext.
func NewClient(port uint16, identity *secure.Identity) *Client {
	return &Client{port: port, identity: identity, conns: make(map[netip.Addr]*grpc.ClientConn)}
}

// Close closes all connections. Requests in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for ip, conn := range c.conns {
		delete(c.conns, ip)
		_ = conn.Close() // no longer used
	}
}

func (c *Client) get(peer netip.Addr) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	if conn := c.conns[peer]; conn != nil {
		return conn, nil
	}
	conn, err := peerconn.New(peerconn.Options{Peer: netip.AddrPortFrom(peer, c.port), Identity: c.identity, ConnectTimeout: acceptTimeout,
		WindowBytes: windowBytes, BufferBytes: bufferBytes, Additional: []grpc.DialOption{grpc.WithIdleTimeout(idleTimeout)}})
	if err == nil {
		c.conns[peer] = conn
	}
	return conn, err
}

// drop closes a connection on which a request was not accepted: it may have fallen silent.
func (c *Client) drop(peer netip.Addr, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[peer] == conn {
		delete(c.conns, peer)
		_ = conn.Close() // no longer used
	}
}

// Send sends a request with its body to an instance and waits for the response. The body of
// the response must be read before the context ends; its length is Response.BodyBytes.
// Errors are *Error.
func (c *Client) Send(ctx context.Context, peer netip.Addr, r *Request, body [][]byte) (*Response, io.Reader, error) {
	fail := func(step string, notRun bool, err error) (*Response, io.Reader, error) {
		return nil, nil, &Error{Step: step, Peer: peer, NotRun: notRun, Err: err}
	}
	conn, err := c.get(peer)
	if err != nil {
		return fail("connect", true, err)
	}
	stream, refused, err := accept(ctx, conn, r)
	if err != nil {
		if ctx.Err() == nil {
			c.drop(peer, conn)
		}
		return fail("accept", true, err)
	}
	if refused != nil {
		return refused, new(bodyReader), nil
	}
	for _, segment := range body {
		if err := stream.Send(&peerapi.RelayRequest{Body: segment}); err != nil {
			return fail("body", true, receivedError(stream, err))
		}
	}
	if err := stream.CloseSend(); err != nil {
		return fail("body", true, err)
	}
	m, err := stream.Recv()
	if err == nil && m.GetHead() == nil {
		err = errors.New("a response without a head")
	}
	if err != nil {
		return fail("response", false, err)
	}
	response := responseFromMessage(m.GetHead())
	return response, &bodyReader{receive: func() ([]byte, error) {
		m, err := stream.Recv()
		return m.GetBody(), err
	}, left: response.BodyBytes}, nil
}

// accept opens a stream with the head of a request and waits until the instance accepts or
// refuses it.
func accept(ctx context.Context, conn *grpc.ClientConn, r *Request) (grpc.BidiStreamingClient[peerapi.RelayRequest, peerapi.RelayResponse], *Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(acceptTimeout, func() { cancel(errNotAccepted) })
	defer timer.Stop()
	end := func(err error) error {
		if context.Cause(ctx) == errNotAccepted {
			err = errNotAccepted
		}
		cancel(err)
		return err
	}
	stream, err := peerapi.NewRelayClient(conn).Serve(ctx)
	if err != nil {
		return nil, nil, end(err)
	}
	if err := stream.Send(&peerapi.RelayRequest{Head: r.message()}); err != nil {
		return nil, nil, end(receivedError(stream, err))
	}
	first, err := stream.Recv()
	switch {
	case err != nil:
		return nil, nil, end(err)
	case first.GetHead() != nil:
		cancel(nil)
		return nil, responseFromMessage(first.GetHead()), nil
	case !first.GetAccepted():
		return nil, nil, end(errors.New("neither accepted nor refused"))
	case !timer.Stop():
		return nil, nil, end(errNotAccepted)
	}
	context.AfterFunc(stream.Context(), func() { cancel(nil) })
	return stream, nil, nil
}

// receivedError returns the error with which the peer ended a stream if sending failed for
// that reason.
func receivedError(stream grpc.BidiStreamingClient[peerapi.RelayRequest, peerapi.RelayResponse], err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if _, received := stream.Recv(); received != nil {
		return received
	}
	return err
}
