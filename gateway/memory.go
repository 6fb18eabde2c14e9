package gateway

import (
	"sync"
	"sync/atomic"
)

// memoryLimit bounds the memory for bodies of all exchanges together.
type memoryLimit struct {
	limit atomic.Int64
	used  atomic.Int64
}

// memoryHold is the memory for the bodies of one exchange. It is safe for concurrent
// use, since attempts may still read a response when the exchange has ended.
type memoryHold struct {
	limit    *memoryLimit
	mu       sync.Mutex
	held     int64
	released bool
}

// reserve adds n bytes to the memory in use. It reports false if the limit is
// exceeded or the hold was released. Bytes above the limit count until release.
func (h *memoryHold) reserve(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return false
	}
	h.held += n
	return h.limit.used.Add(n) <= h.limit.limit.Load()
}

// release gives all bytes back and makes further reservations fail.
func (h *memoryHold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit.used.Add(-h.held)
	h.held, h.released = 0, true
}
