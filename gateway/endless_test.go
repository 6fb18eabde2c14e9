package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxEndlessBytes bounds what a target can send before its connection is closed: the
// largest response that is accepted, and the buffers of the sockets.
const maxEndlessBytes = 32 << 20

// Guards against memory that grows, and callers that wait, while a target sends bytes
// without end: its connection must be closed after a bounded number of bytes, and the
// caller of a request that is not idempotent must get a failure that does not state
// that the request did not run.
func TestEndlessResponsesAreCut(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat string }{
		"head":            {"HTTP/1.1 200 OK\r\nSignature: yes\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n"},
		"header line":     {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("a", 1000)},
		"status line":     {"HTTP/1.1 200 ", strings.Repeat("a", 1000)},
		"1xx answers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", 1000) + "\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\nSignature: yes\r\n\r\n", strings.Repeat("a", 64<<10)},
		"chunks":          {"HTTP/1.1 200 OK\r\nSignature: yes\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("a", 64<<10))},
		"chunk extension": {"HTTP/1.1 200 OK\r\nSignature: yes\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("a", 1000)},
		"trailers":        {"HTTP/1.1 200 OK\r\nSignature: yes\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n"},
		"no response":     {"", strings.Repeat("a", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			f := start(t, startTarget(t, "a", func(_ *target, conn net.Conn, _ *http.Request, _ []byte) bool {
				_, err := fmt.Fprint(conn, c.start)
				for err == nil && sent.Load() < 4*maxEndlessBytes {
					var n int
					n, err = fmt.Fprint(conn, c.repeat)
					sent.Add(int64(n))
				}
				return false
			}))
			got := f.send(t, http.MethodPost, "/unsafe/x", "body")
			is.Equal(got.status, http.StatusBadGateway)
			is.True(sent.Load() <= maxEndlessBytes)
		})
	}
}

// Guards against a target that holds a request by sending one byte at a time: the
// caller gets a failure at its deadline.
func TestTricklingResponseEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	f := start(t, startTarget(t, "a", func(_ *target, conn net.Conn, _ *http.Request, _ []byte) bool {
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nSignature: yes\r\nContent-Length: 1000000\r\n\r\n")
		for err == nil { // ends when the gateway closes the connection
			_, err = fmt.Fprint(conn, "a")
			time.Sleep(time.Millisecond)
		}
		return false
	}))
	got := f.send(t, http.MethodPost, "/brief/x", "body", "Deadline-Ms", "300")
	is.Equal(got.status, http.StatusGatewayTimeout)
}

// Guards against responses that together need more memory than the process has: a
// response that exceeds the limit is a failure, and its memory is free afterwards.
func TestResponsesShareTheMemoryLimit(t *testing.T) {
	is := is.New(t)
	size := 2 << 20 // the memory of the fixture for long responses is less than one MiB
	f := start(t, startTarget(t, "a", func(_ *target, conn net.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: yes\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Id"), size, strings.Repeat("a", size))
		return err == nil
	}))
	got := f.send(t, http.MethodPost, "/unsafe/x", "body")
	is.Equal(got.status, http.StatusBadGateway)
	size = 512 << 10
	for range 4 {
		got = f.send(t, http.MethodPost, "/unsafe/x", "body")
		is.Equal(got.status, http.StatusOK)
		is.Equal(len(got.body), size)
	}
}
