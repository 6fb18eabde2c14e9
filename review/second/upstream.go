package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const healthPath = "/healthz"

// upstream is a stand-in for one incarnation of an upstream. It serves requests as PROTOCOL
// says and registers itself in the store.
type upstream struct {
	id, service, zone string
	capacity          int
	born              int64
	rec               *record
	store             *store
	listener          net.Listener
	server            *http.Server
	running, waiting  atomic.Int64
	slots             chan struct{}
	work              atomic.Int64 // time.Duration of a run
	sequence          int

	// body is the body of answers, "" for a short one that names the request.
	body string
	// crashes reports whether a request crashes the upstream when it begins to run it.
	crashes func(*http.Request) bool

	mu    sync.Mutex
	runs  map[string]int
	down  bool // crashed and not back yet
	ended bool
}

// queueLength is the number of requests that an upstream queues beyond its slots.
const queueLength = 8

func newUpstream(r *run, id, service, zone string, capacity int, work time.Duration) (*upstream, error) {
	u, err := startUpstream(r, r.upstreamIP()+":0", id, service, zone, capacity, work)
	if err == nil {
		u.register("ready")
	}
	return u, err
}

// startUpstream starts an upstream at an address. It has no entry yet.
func startUpstream(r *run, address, id, service, zone string, capacity int, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, capacity: capacity, born: time.Now().UnixMilli(), rec: r.rec, store: r.store,
		listener: listener, slots: make(chan struct{}, capacity), runs: make(map[string]int)}
	u.work.Store(int64(work))
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	r.closers = append(r.closers, u.close)
	return u, nil
}

// ids returns the ids of the requests that the upstream has run.
func (u *upstream) ids() (list []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, n := range u.runs {
		for range n {
			list = append(list, id)
		}
	}
	return list
}

func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	_ = u.server.Close()
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", u.running.Load(), u.waiting.Load(), u.capacity)
}

// register writes the entry. Its return is the acknowledgement of the store.
func (u *upstream) register(state string) {
	u.sequence++
	u.store.put("servers/"+u.id, map[string]any{"address": u.listener.Addr().String(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "capacity": u.capacity},
		"status": map[string]any{"state": state, "sequence": u.sequence, "warmupLeftS": 0}})
}

// crashTime is how long an upstream is down after a crash.
const crashTime = 3 * time.Second

// crash ends the upstream with all its connections. It is back after crashTime, under its id.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	address := u.listener.Addr().String()
	u.rec.line("%s crashes, with %d other requests in progress", u.id, u.running.Load()-1)
	server := u.server
	_ = server.Close()
	time.AfterFunc(crashTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.ended {
			return
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			u.rec.line("%s cannot start again: %v", u.id, err)
			return
		}
		u.listener, u.down, u.born, u.sequence = listener, false, time.Now().UnixMilli(), 0
		u.server = &http.Server{Handler: u}
		go func(s *http.Server) { _ = s.Serve(listener) }(u.server)
		u.register("ready")
		u.rec.line("%s has started again", u.id)
	})
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Upstream-Load", u.load())
	h["Date"] = nil
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		h.Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPathOf(u.service) {
		h.Set("X-Instance-Id", u.id)
		return
	}
	if id == "" {
		h.Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole
	}
	if u.waiting.Add(1) > queueLength {
		u.waiting.Add(-1)
		h.Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		u.waiting.Add(-1)
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	defer func() { <-u.slots }()
	u.running.Add(1)
	defer u.running.Add(-1)
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	u.rec.line("%s (%s) runs %s %s, id %s, %d bytes", u.id, u.service, r.Method, r.URL.RequestURI(), id, len(body))
	if u.crashes != nil && u.crashes(r) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), time.Duration(u.work.Load())) {
		u.rec.line("%s: the connection of %s has closed, run dropped", u.id, id)
		return
	}
	h.Set("X-Upstream-Signature", "sig-"+id)
	if u.body != "" {
		h.Set("Content-Length", strconv.Itoa(len(u.body)))
		_, _ = io.WriteString(w, u.body)
		u.rec.line("%s has answered %s whole", u.id, id)
		return
	}
	_, _ = io.WriteString(w, "done "+id+" "+u.id)
}

// sleep waits and reports whether the context has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
