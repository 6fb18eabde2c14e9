package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0: none
	body   string
	err    error
	sentAt time.Duration
	tookMs float64
	retry  string
}

// ok reports whether the answer is a success with the signature of an upstream.
func (a answer) ok() bool { return a.status >= 200 && a.status < 300 && a.err == nil }

var requestNumber atomic.Int64

// client sends one request at a time, on a connection that it keeps while it can.
type client struct {
	address string
	rec     *record
	caller  string // who the client says that it is, in a header; empty: nobody
	from    string // IP address of the client; empty: any
	conn    net.Conn
	in      *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one attempt and records what came of it.
func (c *client) send(method, path string, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%07d", requestNumber.Add(1)), sentAt: c.rec.now()}
	begin := time.Now()
	a.status, a.body, a.retry, a.err = c.exchange(a.id, method, path, body, begin.Add(deadline), deadline)
	a.tookMs = float64(time.Since(begin).Microseconds()) / 1000
	switch {
	case a.err != nil:
		c.rec.line("%s %s %s to %s, sent %.3f: no answer, %v (%.1f ms)", a.id, method, path, c.address, a.sentAt.Seconds(), a.err, a.tookMs)
	default:
		c.rec.line("%s %s %s to %s, sent %.3f: %d %q retry-after %q (%.1f ms)", a.id, method, path, c.address, a.sentAt.Seconds(), a.status, a.body, a.retry, a.tookMs)
	}
	return a
}

func (c *client) exchange(id, method, path, body string, until time.Time, deadline time.Duration) (int, string, string, error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		if c.from != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.from)}
		}
		conn, err := dialer.Dial("tcp", c.address)
		if err != nil {
			return 0, "", "", err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(until)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet || body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if c.caller != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.caller)
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return 0, "", "", err
	}
	request, _ := http.NewRequest(method, "http://"+host+path, nil)
	response, err := http.ReadResponse(c.in, request)
	if err != nil {
		c.close()
		return 0, "", "", err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.Close {
		c.close()
	}
	return response.StatusCode, string(content), response.Header.Get("Retry-After"), err
}
