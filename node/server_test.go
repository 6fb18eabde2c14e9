package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
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

// Guards against a planned stop that closes an idle connection on which a request has
// just been read: its caller would get no answer.
func TestRequestAtTheStopIsAnsweredOrNotRead(t *testing.T) {
	const rounds = 500
	answered, closed := 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
			limits := func() catalog.Limits { return catalog.Limits{} }
			l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
			s := newServer("callers", "", handler, limits, func(expiry) {}, slog.New(slog.DiscardHandler))
			go func() { _ = s.http.Serve(&callerListener{Listener: l, limits: limits, expired: func(expiry) {}}) }() // ends with shutdown
			serverEnd, callerEnd := net.Pipe()
			l.conns <- serverEnd
			in := bufio.NewReader(callerEnd)
			send(t, callerEnd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			synctest.Wait()
			stopped := make(chan error, 1)
			go func() { stopped <- s.shutdown(context.Background()) }()
			_, _ = io.WriteString(callerEnd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection is closed
			_, err = http.ReadResponse(in, nil)
			is.NoErr(<-stopped)
			is.NoErr(callerEnd.Close())
			if err == nil {
				answered++
				return
			}
			is.Equal(served.Load(), int32(1))
			closed++
		})
	}
	t.Logf("%d answered, %d closed before the request was read", answered, closed)
}
