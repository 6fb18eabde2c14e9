package gateway

import (
	"slices"
	"sync"
)

const (
	// shortBodyBytes is the part of each body that draws on the whole limit. Most bodies
	// are not longer.
	shortBodyBytes = 64 << 10
	// longRequestShare and longResponseShare are the parts of the limit that the rest of
	// longer bodies of requests and of responses may use. Short bodies always have room,
	// and targets cannot take the memory for long requests.
	longRequestShare  = 0.65
	longResponseShare = 0.22
	// youngBodyShare is the part of the memory for long bodies that all but the oldest may
	// use. The rest is for the oldest, so that one of them is always completed.
	youngBodyShare = 0.5
	// ownerShare is the part of the memory for long bodies up to which one caller or one
	// target may add to several of them.
	ownerShare = 0.25
	// exchangeOverhead is the memory of one exchange without its header and its bodies:
	// the buffers of the caller's and a target's connection, and the stacks of their
	// goroutines.
	exchangeOverhead = 32 << 10
)

// memoryLimit bounds the memory of all exchanges together. What counts is the room that is
// allocated, not the bytes that it holds. It is safe for concurrent use.
type memoryLimit struct {
	mu                  sync.Mutex
	limit               int64
	used                int64
	requests, responses longBodies
}

// longBodies is the part of the memory that is used for the parts of bodies beyond
// shortBodyBytes.
type longBodies struct {
	limit float64
	bytes int64
	// bodies are the long bodies, the oldest first; owners holds the bytes of each owner.
	bodies []*bodyMemory
	owners map[string]int64
}

func newMemoryLimit(bytes int64) *memoryLimit {
	l := &memoryLimit{requests: longBodies{owners: make(map[string]int64)}, responses: longBodies{owners: make(map[string]int64)}}
	l.setLimit(bytes)
	return l
}

// setLimit replaces the limit. Memory above it stays in use until it is released.
func (l *memoryLimit) setLimit(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = bytes
	l.requests.limit, l.responses.limit = longRequestShare*float64(bytes), longResponseShare*float64(bytes)
}

// mayGrow reports whether a body may use n more bytes.
func (l *longBodies) mayGrow(b *bodyMemory, n int64) bool {
	within := func(bytes int64, share float64) bool { return float64(bytes+n) <= share*l.limit }
	switch {
	case !within(l.bytes, 1):
		return false
	case len(l.bodies) == 0 || l.bodies[0] == b:
		return true
	default:
		others := l.owners[b.owner] > b.long
		return within(l.bytes, youngBodyShare) && (!others || within(l.owners[b.owner], ownerShare))
	}
}

// grow counts n more bytes of a body.
func (l *longBodies) grow(b *bodyMemory, n int64) {
	if b.long == 0 {
		l.bodies = append(l.bodies, b)
	}
	b.long += n
	l.bytes += n
	l.owners[b.owner] += n
}

// end gives the bytes of a body back.
func (l *longBodies) end(b *bodyMemory) {
	l.bodies = slices.DeleteFunc(l.bodies, func(other *bodyMemory) bool { return other == b })
	l.bytes -= b.long
	if l.owners[b.owner] -= b.long; l.owners[b.owner] == 0 {
		delete(l.owners, b.owner)
	}
}

// memoryHold is the memory of one exchange. It is safe for concurrent use, since attempts
// may still read a response when the exchange has ended.
type memoryHold struct {
	limit    *memoryLimit
	bytes    int64
	bodies   []*bodyMemory
	released bool
}

// reserve adds n bytes that belong to no body. It reports false if the limit is exceeded or
// the hold was released, and then adds nothing.
func (h *memoryHold) reserve(n int64) bool {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	return h.reserveLocked(n)
}

func (h *memoryHold) reserveLocked(n int64) bool {
	if h.released || h.limit.used+n > h.limit.limit {
		return false
	}
	h.bytes += n
	h.limit.used += n
	return true
}

// newRequestBody returns the memory of a request body that is empty so far.
func (h *memoryHold) newRequestBody(caller string) *bodyMemory {
	return h.newBody(&bodyMemory{hold: h, group: &h.limit.requests, owner: caller})
}

// newResponseBody returns the memory of a response body that is empty so far.
func (h *memoryHold) newResponseBody(target string) *bodyMemory {
	return h.newBody(&bodyMemory{hold: h, group: &h.limit.responses, owner: target})
}

func (h *memoryHold) newBody(b *bodyMemory) *bodyMemory {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.bodies = append(h.bodies, b)
	return b
}

// release gives all memory back and makes further reservations fail.
func (h *memoryHold) release() {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.limit.used -= h.bytes
	for _, b := range h.bodies {
		if b.long > 0 {
			b.group.end(b)
		}
	}
	h.bytes, h.bodies, h.released = 0, nil, true
}

// bodyMemory is the memory of one body.
type bodyMemory struct {
	hold  *memoryHold
	group *longBodies
	owner string // the caller or the target that sends it
	bytes int64
	long  int64 // bytes beyond shortBodyBytes
}

// reserve adds n bytes. It reports false, and adds nothing, if a limit is exceeded or the
// hold was released.
func (b *bodyMemory) reserve(n int64) bool {
	l := b.hold.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	long := max(0, b.bytes+n-shortBodyBytes) - b.long
	if long > 0 && !b.group.mayGrow(b, long) || !b.hold.reserveLocked(n) {
		return false
	}
	b.bytes += n
	if long > 0 {
		b.group.grow(b, long)
	}
	return true
}

// fits reports whether n bytes could be reserved now.
func (b *bodyMemory) fits(n int64) bool {
	l := b.hold.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	long := max(0, b.bytes+n-shortBodyBytes) - b.long
	return l.used+n <= l.limit && (long == 0 || b.group.mayGrow(b, long))
}
