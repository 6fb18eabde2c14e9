package callerconn_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

// Guards against several MB of a response in the memory of the system for one slow caller.
func TestSendBufferIsBounded(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := callerconn.NewConns(func() callerconn.Limits { return callerconn.Limits{} }, nil)
	conns.SetSendBuffer(16 << 10)
	listener := conns.Listener(raw)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	control, err := conn.(*callerconn.Conn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	size := 0
	is.NoErr(control.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF) }))
	is.NoErr(err)
	is.Equal(size, 2*16<<10) // the system doubles it, for its own records
}
