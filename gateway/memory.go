package gateway

import (
	"slices"
	"sync"
	"time"
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
	// deliveries are the responses that are written to callers at present. When memory runs
	// out, those of slow callers are cut.
	deliveries []*delivery
	now        func() time.Duration
	gaps       gapWatch
	// sendBuffer is the size of the send buffer of a caller's connection in bytes, 0 if unknown.
	sendBuffer int64
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

func newMemoryLimit(bytes int64, now func() time.Duration) *memoryLimit {
	l := &memoryLimit{now: now, requests: longBodies{owners: make(map[string]int64)}, responses: longBodies{owners: make(map[string]int64)}}
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

// lacksRoom reports whether a body may not use n more bytes once the responses in cut are given
// back. helps then selects the deliveries whose memory would make room; it is nil if none does.
func (l *longBodies) lacksRoom(b *bodyMemory, n int64, cut []*delivery) (lacks bool, helps func(*delivery) bool) {
	bytes, owned := l.bytes, l.owners[b.owner]
	for _, d := range cut {
		bytes -= d.hold.longBytes(l, "")
		owned -= d.hold.longBytes(l, b.owner)
	}
	oldest := slices.IndexFunc(l.bodies, func(other *bodyMemory) bool {
		return !slices.ContainsFunc(cut, func(d *delivery) bool { return d.hold == other.hold })
	})
	within := func(bytes int64, share float64) bool { return float64(bytes+n) <= share*l.limit }
	anyLong := func(d *delivery) bool { return d.hold.longBytes(l, "") > 0 }
	switch {
	case !within(bytes, 1):
		return true, anyLong
	case oldest < 0 || l.bodies[oldest] == b:
		return false, nil
	case !within(bytes, youngBodyShare):
		return true, anyLong
	case owned > b.long && !within(owned, ownerShare):
		return true, func(d *delivery) bool { return d.hold.longBytes(l, b.owner) > 0 }
	}
	return false, nil
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

// shrink gives n bytes of a body back.
func (l *longBodies) shrink(b *bodyMemory, n int64) {
	if n == 0 {
		return
	}
	if b.long -= n; b.long == 0 {
		l.bodies = slices.DeleteFunc(l.bodies, func(other *bodyMemory) bool { return other == b })
	}
	l.bytes -= n
	if l.owners[b.owner] -= n; l.owners[b.owner] == 0 {
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
	chosen   bool // no body that is added gets memory, see keepOnly
}

// reserve adds n bytes that belong to no body. It reports false if the limit is exceeded or
// the hold was released, and then adds nothing.
func (h *memoryHold) reserve(n int64) bool {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	return h.reserveLocked(n)
}

func (h *memoryHold) reserveLocked(n int64) bool {
	if h.released {
		return false
	}
	cut, ok := h.limit.planRoom(nil, n)
	if !ok {
		return false
	}
	h.limit.cutAll(cut)
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
	b.ended = h.chosen
	h.bodies = append(h.bodies, b)
	return b
}

// keepOnly gives back the memory of all bodies but one, which may be nil. Bodies of attempts
// that are still in progress get no more memory, nor do those whose head arrives later.
func (h *memoryHold) keepOnly(kept *bodyMemory) {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.chosen = true
	for _, b := range h.bodies {
		if b != kept {
			b.giveBackLocked(b.bytes)
			b.ended = true
		}
	}
}

// release gives all memory back and makes further reservations fail.
func (h *memoryHold) release() {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.releaseLocked()
}

func (h *memoryHold) releaseLocked() {
	for _, b := range h.bodies {
		b.giveBackLocked(b.bytes)
	}
	h.limit.used -= h.bytes
	h.bytes, h.bodies, h.released = 0, nil, true
}

// bodyMemory is the memory of one body.
type bodyMemory struct {
	hold  *memoryHold
	group *longBodies
	owner string // the caller or the target that sends it
	bytes int64
	long  int64 // bytes beyond shortBodyBytes
	ended bool  // no more memory is reserved
}

// reserve adds n bytes. It reports false, and adds nothing, if a limit is exceeded or the
// hold was released.
func (b *bodyMemory) reserve(n int64) bool {
	l := b.hold.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.ended || b.hold.released {
		return false
	}
	cut, ok := l.planRoom(b, n)
	if !ok {
		return false
	}
	l.cutAll(cut)
	long := b.longOf(n)
	b.hold.bytes += n
	l.used += n
	b.bytes += n
	if long > 0 {
		b.group.grow(b, long)
	}
	return true
}

// fits reports whether n bytes could be reserved now. It cuts no response.
func (b *bodyMemory) fits(n int64) bool {
	l := b.hold.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.planRoom(b, n)
	return ok
}

// longOf returns the part of n more bytes that lies beyond shortBodyBytes.
func (b *bodyMemory) longOf(n int64) int64 { return max(0, b.bytes+n-shortBodyBytes) - b.long }

// longBytes returns the bytes beyond shortBodyBytes of the bodies of a group that an owner has
// sent. An empty owner stands for all.
func (h *memoryHold) longBytes(group *longBodies, owner string) (n int64) {
	for _, b := range h.bodies {
		if b.group == group && (owner == "" || b.owner == owner) {
			n += b.long
		}
	}
	return n
}

// giveBackLocked gives n bytes back.
func (b *bodyMemory) giveBackLocked(n int64) {
	b.bytes -= n
	b.group.shrink(b, b.long-max(0, b.bytes-shortBodyBytes))
	b.hold.bytes -= n
	b.hold.limit.used -= n
}

// giveBack gives n bytes of a body back, unless its hold was released.
func (l *memoryLimit) giveBack(b *bodyMemory, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b != nil && !b.hold.released {
		b.giveBackLocked(min(n, b.bytes))
	}
}

// inUse returns the bytes that are reserved.
func (l *memoryLimit) inUse() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// responseFits reports whether a response of the expected size could be buffered beside those
// that are pending, in bytes. A single one is always admitted: its size is an estimate, and the
// limit may have been lowered since it was learned.
func (l *memoryLimit) responseFits(pending, expected int64) bool {
	if pending == 0 && l.holdsNoLongResponse() {
		return true
	}
	h := &memoryHold{limit: l}
	return h.newResponseBody("").fits(pending + expected)
}

func (l *memoryLimit) holdsNoLongResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.responses.bytes == 0
}
