package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// kept is a client's connection that is used for one request after the other.
type kept struct {
	address  string
	conn     net.Conn
	in       *bufio.Reader
	requests int // sent on the present connection
}

// sent describes one request that a client sent.
type sent struct {
	id, method, path string
	machine          *machine
	onKept           bool // the connection had served a request before
	at               time.Duration
	answer           answer
	cut              bool // the connection ended without any byte of an answer
}

// ask sends a request on the kept connection, or on a new one if there is none.
func (k *kept) ask(m *machine, rec *record, method, path, id string, deadline time.Duration, body string) *sent {
	x := &sent{id: id, method: method, path: path, machine: m}
	started := time.Now()
	if k.conn == nil {
		c, err := net.DialTimeout("tcp", m.frontend(), time.Second)
		if err != nil {
			x.answer.err = fmt.Errorf("no connection: %w", err)
			return x
		}
		k.conn, k.in, k.requests = c, bufio.NewReader(c), 0
	}
	x.onKept = k.requests > 0
	k.requests++
	_ = k.conn.SetDeadline(started.Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	if method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	x.at = rec.now()
	_, err := io.WriteString(k.conn, text+"\r\n"+body)
	closeAfter := true
	if err == nil {
		var r *http.Response
		if r, err = http.ReadResponse(k.in, &http.Request{Method: method}); err == nil {
			x.answer.status, x.answer.signature = r.StatusCode, r.Header.Get("X-Upstream-Signature")
			x.answer.id, x.answer.retryS = r.Header.Get("X-Request-Id"), r.Header.Get("Retry-After")
			var data []byte
			data, err = io.ReadAll(r.Body)
			x.answer.body, closeAfter = string(data), r.Close
		} else {
			var timeout net.Error
			x.cut = !(errors.As(err, &timeout) && timeout.Timeout())
		}
	}
	x.answer.err, x.answer.took = err, time.Since(started)
	if err != nil || closeAfter {
		_ = k.conn.Close()
		k.conn = nil
	}
	return x
}

// ledger is what clients and upstreams have seen of the requests.
type ledger struct {
	mu   sync.Mutex
	sent []*sent
	runs map[string][]run // by request ID
}

type run struct {
	upstream *upstream
	at       time.Duration
	sound    bool // the upstream was not in trouble when it ran the request
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) addSent(x *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, x)
}

func (l *ledger) addRun(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}
