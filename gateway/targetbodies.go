package gateway

import (
	"slices"
	"sync"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// maxTargetBodyBytes bounds the request bodies longer than shortBodyBytes that a target gets
// from this instance at a time, in bytes. A target may read them slowly, and fails if it holds
// more than its memory. A single longer body is always sent.
const maxTargetBodyBytes = 1 << 20

// targetBodies counts the bytes of long request bodies that are in flight to each target. It is
// safe for concurrent use; the zero value is empty.
type targetBodies struct {
	mu    sync.Mutex
	bytes map[catalog.Incarnation]int64
}

// counted returns the part of a body of n bytes that counts.
func counted(n int64) int64 {
	if n <= shortBodyBytes {
		return 0
	}
	return n
}

func (b *targetBodies) hasRoom(id catalog.Incarnation, n int64) bool {
	return n == 0 || b.bytes[id] == 0 || b.bytes[id]+n <= maxTargetBodyBytes
}

// take counts a body of n bytes to a target, or reports false if it has no room.
func (b *targetBodies) take(id catalog.Incarnation, n int64) bool {
	if n = counted(n); n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(id, n) {
		return false
	}
	if b.bytes == nil {
		b.bytes = make(map[catalog.Incarnation]int64)
	}
	b.bytes[id] += n
	return true
}

// release records that a body of n bytes to a target is no longer in flight.
func (b *targetBodies) release(id catalog.Incarnation, n int64) {
	if n = counted(n); n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes[id] -= n; b.bytes[id] == 0 {
		delete(b.bytes, id)
	}
}

// withRoom returns the reports of the targets that have room for a body of n bytes. It modifies
// the list.
func (b *targetBodies) withRoom(reports []placement.Report, n int64) []placement.Report {
	if n = counted(n); n == 0 {
		return reports
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(reports, func(r placement.Report) bool { return !b.hasRoom(r.Target.Incarnation(), n) })
}
