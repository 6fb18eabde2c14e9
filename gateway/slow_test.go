package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a success that no target made: net/http answers 200 by itself
// when a handler returns without an answer, here after a caller that closed its
// sending side counted as gone.
func TestCallerThatClosesItsSideGetsNoSuccess(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", func(_ *target, c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = c.Read(make([]byte, 1)) // until the gateway gives up
		return false
	}))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i\r\nDeadline-Ms: 20000\r\n\r\n")
	is.NoErr(err)
	for len(f.targets[0].received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	got, _ := io.ReadAll(conn) // a reset is fine
	is.True(!strings.Contains(string(got), "200 OK"))
}

// Guards against callers that send a body slowly and hold memory and a place
// for good. Their request has not run, which 408 says.
func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", run))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /brief/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got), "HTTP/1.1 408 "))
	is.Equal(f.total(), int64(0))
}
