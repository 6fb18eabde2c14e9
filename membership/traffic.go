package membership

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// KindTraffic counts the messages of one kind of call, requests and responses
// together. Bytes include the gRPC message prefix, but not HTTP/2 framing.
type KindTraffic struct {
	MessagesSent, BytesSent         uint64
	MessagesReceived, BytesReceived uint64
}

// Traffic counts the messages and bytes that an instance exchanged with its peers.
type Traffic struct {
	Exchange, Content, Notify, Settle, Trial KindTraffic
	// ConnectionBytesSent and ConnectionBytesReceived count all bytes on the
	// connections, including TLS, HTTP/2 framing and headers, but not TCP and IP
	// headers.
	ConnectionBytesSent, ConnectionBytesReceived uint64
}

// kindCounters are the counters behind a KindTraffic.
type kindCounters struct{ messagesSent, bytesSent, messagesReceived, bytesReceived atomic.Uint64 }

func (k *kindCounters) read() KindTraffic {
	return KindTraffic{MessagesSent: k.messagesSent.Load(), BytesSent: k.bytesSent.Load(),
		MessagesReceived: k.messagesReceived.Load(), BytesReceived: k.bytesReceived.Load()}
}

// traffic is the stats.Handler of the peer server and the client connections.
type traffic struct {
	exchange, content, notify, settle, trial, other kindCounters
	sent, received                                  atomic.Uint64
}

// Traffic returns the current counters.
func (t *Task) Traffic() Traffic {
	c := t.traffic
	return Traffic{Exchange: c.exchange.read(), Content: c.content.read(), Notify: c.notify.read(),
		Settle: c.settle.read(), Trial: c.trial.read(),
		ConnectionBytesSent: c.sent.Load(), ConnectionBytesReceived: c.received.Load()}
}

type kindKey struct{}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, kindKey{}, t.kind(info.FullMethodName))
}

func (t *traffic) kind(method string) *kindCounters {
	switch method {
	case peerapi.Peer_Exchange_FullMethodName:
		return &t.exchange
	case peerapi.Peer_Content_FullMethodName:
		return &t.content
	case peerapi.Peer_Notify_FullMethodName:
		return &t.notify
	case peerapi.Peer_Settle_FullMethodName:
		return &t.settle
	case peerapi.Peer_Trial_FullMethodName:
		return &t.trial
	}
	return &t.other
}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(ctx context.Context, event stats.RPCStats) {
	k, ok := ctx.Value(kindKey{}).(*kindCounters)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.InPayload:
		k.messagesReceived.Add(1)
		k.bytesReceived.Add(uint64(e.WireLength))
	case *stats.OutPayload:
		k.messagesSent.Add(1)
		k.bytesSent.Add(uint64(e.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countedListener counts the bytes on the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, traffic: l.traffic}, nil
}
