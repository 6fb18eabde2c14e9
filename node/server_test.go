package node

import (
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

// Guards against a bound of the send buffer that the callers' server lacks, or that slows down
// the responses of other servers.
func TestOnlyCallersHaveABoundedSendBuffer(t *testing.T) {
	settings := &Settings{MemoryBytes: 1} // the least size
	for _, name := range []string{callersServer, "resolve"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := callerconn.NewConns(func() callerconn.Limits { return callerconn.Limits{} }, nil)
			s := newServer(name, "127.0.0.1:0", http.NotFoundHandler(), conns, slog.New(slog.DiscardHandler))
			s.setMemory(settings)
			is.NoErr(s.listen())
			listener := s.conns.Listener(s.queue)
			t.Cleanup(func() { _ = listener.Close() })
			caller, err := net.Dial("tcp", listener.Addr().String())
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
			is.Equal(size == 2*minSendBuffer, name == callersServer) // the system doubles it
		})
	}
}
