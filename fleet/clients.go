package fleet

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/internal/peerconn"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/secure"
)

const (
	// exchangeTimeout bounds one exchange. Peers answer within milliseconds; no
	// answer within this time means that the peer or the connection is lost.
	exchangeTimeout = 400 * time.Millisecond
	// connectionBufferBytes is the size of each read and write buffer of a connection;
	// messages are small.
	connectionBufferBytes = 4 << 10
	// windowBytes is the flow control window. It holds a complete set of records. A
	// fixed window also avoids the pings that gRPC sends to estimate the bandwidth.
	windowBytes = 2 << 20
)

// clients holds a connection to each peer. The task owns it; the connections
// themselves are safe for concurrent use.
type clients struct {
	port     uint16
	identity *secure.Identity
	conns    map[netip.Addr]*grpc.ClientConn
	// dialOptions are added to those of each connection.
	dialOptions []grpc.DialOption
}

func newClients(port uint16, identity *secure.Identity) *clients {
	return &clients{port: port, identity: identity, conns: make(map[netip.Addr]*grpc.ClientConn)}
}

// get returns the connection to a peer, and creates it if there is none. A new
// connection connects on first use.
func (c *clients) get(ip netip.Addr) (*grpc.ClientConn, error) {
	if conn := c.conns[ip]; conn != nil {
		return conn, nil
	}
	conn, err := peerconn.New(peerconn.Options{Peer: netip.AddrPortFrom(ip, c.port), Identity: c.identity, ConnectTimeout: exchangeTimeout,
		WindowBytes: windowBytes, BufferBytes: connectionBufferBytes, Additional: append([]grpc.DialOption{grpc.WithIdleTimeout(0)}, c.dialOptions...)})
	if err != nil {
		return nil, err
	}
	c.conns[ip] = conn
	return conn, nil
}

// drop closes the connection to a peer, so that the next exchange uses a new one. After a
// failed exchange the old one may be broken without having been reset.
func (c *clients) drop(ip netip.Addr) {
	if conn := c.conns[ip]; conn != nil {
		delete(c.conns, ip)
		_ = conn.Close() // the connection is no longer used
	}
}

func (c *clients) close() {
	for ip := range c.conns {
		c.drop(ip)
	}
}

// exchange sends state to a peer and returns the peer's state.
func exchange(ctx context.Context, conn *grpc.ClientConn, state *peerapi.FleetState) (*peerapi.FleetState, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return peerapi.NewFleetClient(conn).Exchange(ctx, state)
}
