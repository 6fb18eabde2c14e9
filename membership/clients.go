package membership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

// maxResponseBytes bounds the response of a peer. A response may hold a
// configuration of 1 MB or a recorded response of 8 MB.
const maxResponseBytes = 9 << 20

// CallError is the failure of a call between instances, or of the peer server.
type CallError struct {
	// Step is the kind of the call, for example "exchange", or "serve".
	Step string
	// Peer is the identifier of the other instance and, if known, its address.
	// For the step "serve" it is the address of this instance's listener.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s with %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// clients holds one gRPC connection for each peer address.
type clients struct {
	reachable func(string) bool
	traffic   *traffic
	identity  *secure.Identity

	mu          sync.Mutex
	closed      bool
	connections map[string]*grpc.ClientConn
}

func newClients(reachable func(string) bool, t *traffic, identity *secure.Identity) *clients {
	return &clients{reachable: reachable, traffic: t, identity: identity, connections: make(map[string]*grpc.ClientConn)}
}

// call makes one call to a peer. Every error is a *CallError.
func call[T any](ctx context.Context, c *clients, p Peer, step string, f func(context.Context, peerapi.PeerClient) (T, error)) (T, error) {
	var zero T
	fail := func(err error) (T, error) {
		return zero, &CallError{Step: step, Peer: p.ID + " at " + p.PeerAddress, Err: err}
	}
	if !c.reachable(p.ID) {
		return fail(errors.New("peer is unreachable (simulated partition)"))
	}
	connection, err := c.connection(p.PeerAddress)
	if err != nil {
		return fail(err)
	}
	response, err := f(withAddressee(ctx, p.ID), peerapi.NewPeerClient(connection))
	if err != nil {
		return fail(err)
	}
	return response, nil
}

// connection returns the connection to an IP address and port and creates it if
// there is none. The passthrough scheme keeps gRPC from resolving names.
func (c *clients) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("instance is stopping")
	}
	if connection := c.connections[address]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		c.identity.DialOption(), grpc.WithContextDialer(c.dial),
		grpc.WithStatsHandler(c.traffic), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithUserAgent("d"), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: exchangeTimeout,
			// The default maximum of 2 min would delay reconnection after a partition.
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}))
	if err != nil {
		return nil, err
	}
	c.connections[address] = connection
	return connection, nil
}

func (c *clients) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, traffic: c.traffic}, nil
}

// prune closes connections to addresses that are not in the set.
func (c *clients) prune(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if !addresses[address] {
			_ = connection.Close() // calls in flight return their own error
			delete(c.connections, address)
		}
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, connection := range c.connections {
		_ = connection.Close() // calls in flight return their own error
	}
}
