package standin

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Value is a published value that can be read and watched over HTTP, with
// faults that tests switch on. It is safe for concurrent use.
type Value struct {
	calls atomic.Int64

	mu      sync.Mutex
	current []byte // what an operator published last
	served  []byte // what readers get; behind current while stale
	mode    Mode
	changed chan struct{}
}

// Mode is how a Value answers. The zero Mode answers correctly.
type Mode struct {
	// Down answers status 503.
	Down bool
	// CloseConnection closes the connection without an answer.
	CloseConnection bool
	// Stale keeps answering what was served when the mode was set.
	Stale bool
	// Override is answered in place of the value, when set.
	Override []byte
	// Alternate answers these contents in turn. A watch gets one that it does not
	// have at once, if there is one.
	Alternate [][]byte
	// Truncate ends the body after half of it.
	Truncate bool
	// Delay is the wait before each answer.
	Delay time.Duration
	// PublishDelay is the time until a new value is served.
	PublishDelay time.Duration
}

// NewValue returns a value with its first content.
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

// SetMode changes how calls are answered, pending watches included.
func (v *Value) SetMode(mode Mode) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mode = mode
	v.update()
}

// Calls returns the number of reads and watches so far.
func (v *Value) Calls() int64 { return v.calls.Load() }

func (v *Value) publish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.update()
}

// update serves the current content unless stale, and wakes the watches.
func (v *Value) update() {
	if !v.mode.Stale {
		v.served = v.current
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// get returns the answer to the call with the given number.
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

// ServeHTTP answers reads and watches. A waiting watch counts as one call.
func (v *Value) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := v.calls.Add(1)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // a read waits 0 ms
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		data, mode, changed := v.get(call)
		tag := tagOf(data)
		if len(mode.Alternate) > 1 && r.Header.Get("If-None-Match") == tag {
			data, mode, changed = v.get(call + 1)
			tag = tagOf(data)
		}
		if mode.Down || mode.CloseConnection || r.Header.Get("If-None-Match") != tag {
			answer(w, r, data, tag, mode)
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

func tagOf(data []byte) string { return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)) }

// answer writes one answer with the mode's faults.
func answer(w http.ResponseWriter, r *http.Request, data []byte, tag string, mode Mode) {
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
		_, _ = w.Write(data) // the reader sees a short body
	}
}
