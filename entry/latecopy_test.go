package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// serveLateCopies answers each request with its path. On a connection that is in use
// again it first sends a second copy of the previous response.
func serveLateCopies(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for previous := ""; ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			return // the instance closed the connection
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID,
			request.Header.Get(wire.HeaderRequestID), len(request.URL.Path), request.URL.Path)
		if _, err := fmt.Fprint(conn, previous+response); err != nil {
			return
		}
		previous = response
	}
}

// Guards against the second copy of a response, which arrives on a connection that is
// in use again and is taken for the response to the next request.
func TestLateCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	f := startWithTarget(t, serveLateCopies)
	for n := range 20 {
		path := fmt.Sprint("/echo/", n)
		got := f.mustDo(t, http.MethodGet, path, nil)
		is.Equal(got.StatusCode, http.StatusOK)
		is.Equal(got.text, path)
	}
}

// startWithTarget starts an instance in front of one target whose connections serve
// handles.
func startWithTarget(t *testing.T, serve func(net.Conn)) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(conn)
		}
	}()
	return start(t, standin.TargetOptions{Slots: 4}, func(o *entry.Options) {
		view := o.View()
		pool := view.Document.Pools[0]
		pool.Targets[0].Address = listener.Addr().String()
		view.Pools[pool.Name] = runPool(t, pool, o.Transport, o.Now)
	})
}

// Guards against a response whose target stopped in the middle of the head and that
// reaches the caller as a whole success.
func TestCutHeadIsNoSuccess(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nX-Own: abc\r\nContent-Length: 2\r\n\r\n"
	var cut, arrived atomic.Int64
	f := startWithTarget(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			arrived.Add(1)
			_, _ = fmt.Fprint(conn, head[:cut.Load()])
		}
	})
	for ; cut.Load() <= int64(len(head)); cut.Add(1) {
		got, err := f.do(t.Context(), http.MethodGet, "/echo/x", nil)
		is.True(err != nil || got.err != nil || got.refused != nil)
	}
	is.True(arrived.Load() >= int64(len(head))) // none was refused before it was sent
}
