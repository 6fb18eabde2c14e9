package standin

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Value is a fake platform service that publishes one value, which clients read and
// watch over HTTP. SetMode injects faults. It is safe for concurrent use.
type Value struct {
	calls atomic.Int64

	mu      sync.Mutex
	current []byte // the last content that was published
	served  []byte // the content that readers receive; differs from current while stale or delayed
	mode    Mode
	changed chan struct{} // closed, and replaced, on each change
}

// Mode is the set of faults of a Value. With the zero Mode it responds correctly.
type Mode struct {
	// Down responds with status 503.
	Down bool
	// CloseConnection closes the connection without a response.
	CloseConnection bool
	// Stale keeps serving the content from before the mode was set.
	Stale bool
	// Override, if not nil, is served instead of the value.
	Override []byte
	// Alternate serves these contents in turn, one per call. A watch whose client
	// already has the content of its call receives the next one without waiting.
	Alternate [][]byte
	// Truncate sends only the first half of the body.
	Truncate bool
	// Delay is added before each response.
	Delay time.Duration
	// PublishDelay is the time from Set until the new content is served.
	PublishDelay time.Duration
}

// NewValue returns a value that serves data.
func NewValue(data []byte) *Value {
	return &Value{current: data, served: data, changed: make(chan struct{})}
}

// Set publishes new content.
func (v *Value) Set(data []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = data
	if v.mode.PublishDelay > 0 {
		time.AfterFunc(v.mode.PublishDelay, v.publish)
		return
	}
	v.update()
}

// SetMode replaces the faults. It also applies to pending watches.
func (v *Value) SetMode(mode Mode) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mode = mode
	v.update()
}

// Calls returns the number of reads and watches so far. A waiting watch counts as
// one call.
func (v *Value) Calls() int64 { return v.calls.Load() }

func (v *Value) publish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.update()
}

// update serves the current content unless the mode is stale, and wakes all pending
// watches. The caller holds mu.
func (v *Value) update() {
	if !v.mode.Stale {
		v.served = v.current
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// get returns the content for the call with the given number, the mode, and a
// channel that is closed on the next change.
func (v *Value) get(call int64) (data []byte, mode Mode, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.mode.Override != nil:
		return v.mode.Override, v.mode, v.changed
	case len(v.mode.Alternate) > 0:
		return v.mode.Alternate[call%int64(len(v.mode.Alternate))], v.mode, v.changed
	default:
		return v.served, v.mode, v.changed
	}
}

// ServeHTTP serves reads and watches. A watch sends the entity tag that it has in
// If-None-Match and waits up to wait_ms milliseconds for other content; without a
// change the response is status 304.
func (v *Value) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := v.calls.Add(1)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 for a read
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		data, mode, changed := v.get(call)
		tag := entityTag(data)
		if len(mode.Alternate) > 1 && r.Header.Get("If-None-Match") == tag {
			data, mode, changed = v.get(call + 1)
			tag = entityTag(data)
		}
		if mode.Down || mode.CloseConnection || r.Header.Get("If-None-Match") != tag {
			respond(w, r, data, tag, mode)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func entityTag(data []byte) string { return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)) }

// respond writes one response with the mode's faults.
func respond(w http.ResponseWriter, r *http.Request, data []byte, tag string, mode Mode) {
	if mode.Delay > 0 {
		select {
		case <-time.After(mode.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case mode.CloseConnection:
		panic(http.ErrAbortHandler)
	case mode.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("ETag", tag)
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		if mode.Truncate {
			data = data[:len(data)/2]
		}
		_, _ = w.Write(data) // a reader detects a short body
	}
}
