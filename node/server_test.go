package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

// Guards against a planned stop that waits for connections without a request until
// the platform kills the process, and against a request that arrives on such a
// connection late in the stop and is cut. net/http waits five seconds for them.
func TestStopClosesUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := func() catalog.Limits { return catalog.Limits{} }
		l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := newServer("callers", "", http.NotFoundHandler(), limits, func(expiry) {}, slog.New(slog.DiscardHandler))
		go func() { _ = s.http.Serve(&callerListener{Listener: l, limits: limits, expired: func(expiry) {}}) }() // ends with shutdown
		serverEnd, callerEnd := net.Pipe()
		l.conns <- serverEnd
		synctest.Wait()
		started := time.Now()
		is.NoErr(s.shutdown(context.Background()))
		is.True(time.Since(started) < time.Second) // on the fake clock
		_, err := callerEnd.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(callerEnd.Close())
	})
}
