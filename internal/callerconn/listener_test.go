package callerconn_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
)

// stops is the number of stops played in a row; a reset of queued connections shows
// in nearly each of them.
const stops = 300

// Guards against connections that are reset when a listener is closed although
// their callers have sent a request: all that are queued at the time of a planned
// stop must get an answer.
func TestQueuedConnectionsAreServed(t *testing.T) {
	const queued = 5
	is := is.New(t)
	for range stops {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l, err := callerconn.New(raw)
		is.NoErr(err)
		var conns []net.Conn
		for range queued {
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			conns = append(conns, conn)
		}
		open := callerconn.NewConns(func() callerconn.Limits { return callerconn.Limits{} }, nil)
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: open.StateChanged}
		served := make(chan error, 1)
		go func() { served <- server.Serve(open.Listener(l)) }()
		is.NoErr(l.Drain(t.Context()))
		is.NoErr(open.Shutdown(t.Context(), server))
		is.Equal(<-served, http.ErrServerClosed)
		for _, conn := range conns {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.NoErr(conn.Close())
		}
	}
}

// Guards against a listener that stays open after it was drained, and against an
// Accept that returns before the server closes the listener: a server would report
// that as a failure.
func TestDrainedListenerRefusesConnections(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l, err := callerconn.New(raw)
	is.NoErr(err)
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	is.NoErr(l.Drain(t.Context()))
	_, err = net.DialTimeout("tcp", l.Addr().String(), time.Second)
	is.True(err != nil)
	is.Equal(len(accepted), 0)
	is.NoErr(l.Close())
	is.Equal(<-accepted, net.ErrClosed)
	is.NoErr(l.Close())
}
