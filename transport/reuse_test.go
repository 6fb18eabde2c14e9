package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// Guards against treating an idle connection as closed because the deadline of its
// previous exchange has passed. Each probe would then open a new connection.
func TestPassedDeadlineKeepsConnection(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, standin.TargetOptions{Slots: 1})
	client := newClient(t, transport.Options{})
	ctx := testContext(t)
	short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	_, err := send(short, client, target.Address(), "", "first")
	is.NoErr(err)
	<-short.Done()
	_, err = send(ctx, client, target.Address(), "", "second")
	is.NoErr(err)
	is.Equal(client.Counters().Opened, int64(1))
}

// Guards against taking a late second response to an earlier request for the
// response to the current request on the same connection.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	respond := func(w io.Writer, id, body string) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		respond(conn, "a", "first")
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		respond(conn, "a", "first again")
		respond(conn, "b", "second")
		_, _ = io.Copy(io.Discard, in)
	})
	client := newClient(t, transport.Options{})
	get := func(id string) string {
		response, err := client.Do(testContext(t), &transport.Attempt{Target: "t", Address: address, Method: http.MethodGet,
			URI: "/", Header: http.Header{"X-Id": {id}}, EchoHeader: "X-Id"})
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return string(body)
	}
	is.Equal(get("a"), "first")
	is.Equal(get("b"), "second")
	is.Equal(client.Counters().Closed[transport.CloseUnexpectedData], int64(1)) // the connection is not reused
}

// Guards against a second copy of a refusal that is taken for the response to the next
// request, since it does not name the request to which it belongs.
func TestConnectionWithUnnamedRefusalIsNotReused(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		opened int64
	}{"unnamed": {"", 2}, "named": {"X-Id: a\r\n", 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				refusal := ""
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if r.URL.Path == "/refuse" {
						refusal = "HTTP/1.1 503 X\r\n" + c.header + "Content-Length: 0\r\n\r\n"
						_, _ = io.WriteString(conn, refusal)
						continue
					}
					_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", refusal, r.Header.Get("X-Id"))
				}
			})
			client := newClient(t, transport.Options{})
			get := func(path, id string) int {
				response, err := client.Do(testContext(t), &transport.Attempt{Target: "t", Address: address, Method: http.MethodGet,
					URI: path, Header: http.Header{"X-Id": {id}}, EchoHeader: "X-Id"})
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				return response.StatusCode
			}
			is.Equal(get("/refuse", "a"), 503)
			is.Equal(get("/run", "b"), 200)
			is.Equal(client.Counters().Opened, c.opened)
		})
	}
}

// Guards against a needless connection when one is handed to a waiting exchange: it has
// never been idle, so the idle timeout that the target announces has not passed.
func TestConnectionForAWaiterIsNotExpired(t *testing.T) {
	is := is.New(t)
	address := serveRaw(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(t, transport.Options{ConnectionLimit: func(string) int { return 1 }})
	do := func() *http.Response {
		response, err := client.Do(testContext(t), &transport.Attempt{Target: "t", Address: address, Method: http.MethodGet, URI: "/"})
		is.NoErr(err)
		return response
	}
	first := do()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = do().Body.Close()
	}()
	time.Sleep(20 * time.Millisecond) // the second exchange waits; if it does not yet, the test passes all the same
	is.NoErr(first.Body.Close())
	<-done
	is.Equal(client.Counters().Opened, int64(1))
}
