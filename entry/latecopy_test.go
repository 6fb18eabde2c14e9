package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go serveLateCopies(conn)
		}
	}()
	f := start(t, standin.TargetOptions{Slots: 4}, func(o *entry.Options) {
		view := o.View()
		pool := view.Document.Pools[0]
		pool.Targets[0].Address = listener.Addr().String()
		view.Pools[pool.Name] = runPool(t, pool, o.Transport, o.Now)
	})
	for n := range 20 {
		path := fmt.Sprint("/echo/", n)
		got := f.mustDo(t, http.MethodGet, path, nil)
		is.Equal(got.StatusCode, http.StatusOK)
		is.Equal(got.text, path)
	}
}
