package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is one upstream: a server that runs one request at a time on a connection.
type upstream struct {
	id, service, zone, address string
	healthPath                 string
	slots                      int
	work                       func() time.Duration
	rec                        *record
	born                       int64
	listener                   net.Listener
	sequence                   atomic.Int64
	running                    atomic.Int64
	waiting                    atomic.Int64
	crashed                    atomic.Bool
	slot                       chan struct{}
	state                      atomic.Value // "ready" or "draining"

	// answerWith replaces the answer of a request that ran. It reports whether the
	// connection stays open; handled is false for the ordinary answer.
	answerWith func(c net.Conn, r *http.Request, body []byte) (handled, keep bool)
	// beforeRun may turn a request away; it returns the headers of a 503, or "".
	beforeRun func(r *http.Request) string
	// headers are added to all answers; probe tells those to health checks.
	headers func(probe bool) string
	onRun   func(r *http.Request, body []byte)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newUpstream(id, service, zone, address string, slots int, work func() time.Duration, rec *record) *upstream {
	u := &upstream{id: id, service: service, zone: zone, address: address, slots: slots, work: work, rec: rec, healthPath: "/healthz",
		born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), conns: make(map[net.Conn]bool)}
	u.state.Store("ready")
	u.listen()
	return u
}

func (u *upstream) listen() {
	l, err := net.Listen("tcp", u.address)
	check(err)
	u.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
}

// crash closes all connections and the listener.
func (u *upstream) crash() {
	u.crashed.Store(true)
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// entry is what the upstream writes to the store.
func (u *upstream) entry() any {
	return map[string]any{"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "capacity": u.slots},
		"status": map[string]any{"state": u.state.Load(), "sequence": u.sequence.Add(1), "warmupLeftS": 0}}
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d,100", u.running.Load(), u.waiting.Load(), u.slots)
}

func (u *upstream) extra(probe bool) string {
	if u.headers == nil {
		return ""
	}
	return u.headers(probe)
}

func (u *upstream) serve(c net.Conn) {
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.handle(c, r, body) {
			return
		}
	}
}

func (u *upstream) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	common := fmt.Sprintf("X-Request-Id: %s\r\nX-Upstream-Load: %s\r\nX-Instance-Id: %s\r\n", id, u.load(), u.id)
	if r.URL.Path == u.healthPath {
		status := "200 OK"
		if u.state.Load() != "ready" {
			status = "503 Service Unavailable"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%sContent-Length: 0\r\n\r\n", status, common, u.extra(true))
		return err == nil
	}
	if e := r.Header.Get("X-Expected-Instance"); e != "" && e != u.id {
		u.rec.line("%s turns %s away: 421", u.id, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", u.id, id)
		return err == nil
	}
	from := c.RemoteAddr().String()
	if u.beforeRun != nil {
		if h := u.beforeRun(r); h != "" {
			u.rec.line("%s turns %s away: 503 %q, from %s", u.id, id, h, from)
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Processed: 1\r\n%s%sContent-Length: 0\r\n\r\n", common, h, u.extra(false))
			return err == nil
		}
	}
	u.waiting.Add(1)
	u.slot <- struct{}{}
	u.waiting.Add(-1)
	u.running.Add(1)
	u.rec.line("%s runs %s, %s %s, deadline %s ms, from %s", u.id, id, r.Method, r.RequestURI, r.Header.Get("X-Deadline-Ms"), from)
	if u.onRun != nil {
		u.onRun(r, body)
	}
	time.Sleep(u.work())
	u.running.Add(-1)
	<-u.slot
	if u.answerWith != nil {
		if handled, keep := u.answerWith(c, r, body); handled {
			return keep
		}
	}
	text := "answer of " + u.id + " to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sX-Upstream-Signature: %s.%s\r\nContent-Length: %s\r\n\r\n%s", common, u.extra(false), u.id, id,
		strconv.Itoa(len(text)), text)
	return err == nil
}
