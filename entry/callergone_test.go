package entry_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

// Guards against an empty success for a caller that closed its sending side after the
// request: net/http answers 200 when a handler returns without a response.
func TestCallerGoneGetsNoSuccess(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{ServiceTime: func(*http.Request) time.Duration { return testTimeout }}, nil)
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /echo/x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(answer), "")
}
