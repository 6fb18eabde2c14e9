package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response of a target that stopped in the middle of the head, or of the
// body, and reaches the caller as a whole success.
func TestCutResponseIsNoSuccess(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nX-Long: " + strings.Repeat("x", 40) + "\r\n"
	for name, c := range map[string]struct {
		rest string
		// bodyEnds is true if the end of the connection is that of the body.
		bodyEnds bool
	}{
		"length":     {rest: "Content-Length: 10\r\n\r\n0123456789"},
		"chunks":     {rest: "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"},
		"connection": {rest: "Connection: close\r\n\r\n0123456789", bodyEnds: true},
		"no body":    {rest: "Content-Length: 0\r\n\r\n"},
		"interim":    {rest: "\r\n", bodyEnds: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset: ", reset), func(t *testing.T) {
				is := is.New(t)
				var cut, length atomic.Int64
				length.Store(1)
				f := start(t, startTarget(t, "a", func(_ *target, conn net.Conn, r *http.Request, _ []byte) bool {
					text := fmt.Sprintf(head, r.Header.Get("Id")) + c.rest
					if name == "interim" {
						text = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" + text
					}
					length.Store(int64(len(text)))
					if c.bodyEnds {
						length.Store(int64(strings.LastIndex(text, "\r\n\r\n") + 4))
					}
					_, _ = io.WriteString(conn, text[:cut.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				}))
				for ; cut.Load() < length.Load(); cut.Add(1) {
					got := f.send(t, "POST", "/unsafe/x", "", "Id", "id")
					if got.status != http.StatusBadGateway {
						t.Fatalf("%d of %d bytes: status %d, body %q", cut.Load(), length.Load(), got.status, got.body)
					}
				}
				if !reset {
					is.Equal(f.send(t, "POST", "/unsafe/x", "", "Id", "id").status, http.StatusOK) // not cut
				}
			})
		}
	}
}

// Guards against an answer with status 000 that a caller gets, or for whose successor it waits
// until its deadline.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	is := is.New(t)
	none := func(_ *target, conn net.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 X\r\nId: %s\r\nSignature: a\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}
	is.Equal(start(t, startTarget(t, "a", none)).send(t, "POST", "/unsafe/x", "", "Deadline-Ms", "10000").status, 502)
	is.Equal(start(t, startTarget(t, "a", none), startTarget(t, "b", run)).send(t, "GET", "/safe/x", "", "Deadline-Ms", "10000").status, 200)
}
