package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// fuzzConn is a connection whose peer sends fixed bytes.
type fuzzConn struct {
	net.Conn
	remaining []byte
}

func (c *fuzzConn) Read(p []byte) (int, error) {
	if len(c.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.remaining)
	c.remaining = c.remaining[n:]
	return n, nil
}
func (c *fuzzConn) Write(p []byte) (int, error)   { return len(p), nil }
func (c *fuzzConn) Close() error                  { return nil }
func (c *fuzzConn) SetDeadline(_ time.Time) error { return nil }

// Guards against panics and unbounded reads on malformed responses, and against
// reusing a connection after a failed response or one followed by extra bytes.
func FuzzAnswer(f *testing.F) {
	f.Add("GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
	f.Add("HEAD", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\nmore")
	f.Fuzz(func(t *testing.T, method, raw string) {
		client := NewClient(Options{HeadBytes: 4096})
		peer := &fuzzConn{remaining: []byte(raw)}
		conn := newConn("a", peer)
		client.pool.addresses["a"] = &addressPool{open: 1}
		response, failed := client.exchange(context.Background(), conn, &Attempt{Method: method, URI: "/", Address: "a"})
		if failed != nil {
			return
		}
		source := response.Body
		b := &body{client: client, conn: conn, response: response, underlying: source, complete: source == http.NoBody,
			stopCancelWatch: func() bool { return true }}
		_, err := io.Copy(io.Discard, b)
		_ = b.Close()
		extra := len(peer.remaining) > 0 || conn.in.Buffered() > 0
		if reused := client.pool.addresses["a"] != nil; reused && (err != nil || extra && conn.in.Buffered() > 0) {
			t.Fatalf("the connection is reused after %q (%v)", raw, err)
		}
		client.Close()
	})
}
