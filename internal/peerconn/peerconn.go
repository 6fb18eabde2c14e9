// Package peerconn opens gRPC connections to other instances.
package peerconn

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/dogwoodroute/dogwoodroute/secure"
)

// connectBackoff is the delay before the first reconnection. It is short, since a
// restarted process listens again within a fraction of a second.
const connectBackoff = 100 * time.Millisecond

// Options configures a connection. All fields are required, except Identity.
type Options struct {
	Peer netip.AddrPort
	// Identity secures the connection with mTLS. If nil, it is plaintext.
	Identity *secure.Identity
	// ConnectTimeout limits opening the connection.
	ConnectTimeout time.Duration
	// WindowBytes is the flow control window. A fixed one avoids the pings that gRPC sends
	// to estimate the bandwidth.
	WindowBytes int32
	// BufferBytes is the size of the read buffer and of the write buffer.
	BufferBytes int
	// Additional options go after those from the fields above.
	Additional []grpc.DialOption
}

// New returns a connection that connects on first use.
func New(o Options) (*grpc.ClientConn, error) {
	params := grpc.ConnectParams{MinConnectTimeout: o.ConnectTimeout,
		Backoff: backoff.Config{BaseDelay: connectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 5 * connectBackoff}}
	options := append([]grpc.DialOption{o.Identity.DialOption(), grpc.WithConnectParams(params), grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(o.WindowBytes), grpc.WithInitialConnWindowSize(o.WindowBytes),
		grpc.WithReadBufferSize(o.BufferBytes), grpc.WithWriteBufferSize(o.BufferBytes)}, o.Additional...)
	conn, err := grpc.NewClient("passthrough:///"+o.Peer.String(), options...)
	if err != nil {
		return nil, errors.Wrapf(err, "create gRPC client for peer %s", o.Peer.Addr())
	}
	return conn, nil
}
