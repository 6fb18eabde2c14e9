package gateway

import (
	"slices"
	"time"
)

// beginDelivery adds a delivery, whose memory may be taken from now on.
func (l *memoryLimit) beginDelivery(d *delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.began = l.now()
	l.deliveries = append(l.deliveries, d)
}

// setSendBuffer replaces the size of the send buffer of a caller's connection.
func (l *memoryLimit) setSendBuffer(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendBuffer = bytes
}

// mayWrite reports whether the delivery was not cut.
func (l *memoryLimit) mayWrite(d *delivery) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !d.cut
}

// progress records that n bytes were written.
func (l *memoryLimit) progress(d *delivery, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.written += n
}

// endDelivery removes a delivery and reports whether it was cut.
func (l *memoryLimit) endDelivery(d *delivery) (cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(d)
	return d.cut
}

func (l *memoryLimit) remove(d *delivery) {
	l.deliveries = slices.DeleteFunc(l.deliveries, func(other *delivery) bool { return other == d })
}

// planRoom returns the deliveries that have to be cut so that n more bytes of a body fit, the
// slowest first. A nil body stands for memory that belongs to none. ok is false if the bytes do
// not fit even without all slow deliveries that make room; then none needs to be cut.
func (l *memoryLimit) planRoom(b *bodyMemory, n int64) (cut []*delivery, ok bool) {
	for {
		lacks, helps := l.lacksRoom(b, n, cut)
		if !lacks {
			return cut, true
		}
		d := l.slowest(func(d *delivery) bool { return helps(d) && !slices.Contains(cut, d) })
		if d == nil {
			return nil, false
		}
		cut = append(cut, d)
	}
}

// lacksRoom reports whether n more bytes of a body do not fit once the deliveries in cut have
// given their memory back. helps then selects the deliveries whose memory would make room.
func (l *memoryLimit) lacksRoom(b *bodyMemory, n int64, cut []*delivery) (lacks bool, helps func(*delivery) bool) {
	used := l.used
	for _, d := range cut {
		used -= d.hold.bytes
	}
	if used+n > l.limit {
		return true, func(d *delivery) bool { return d.hold.bytes > 0 }
	}
	if b == nil || b.longOf(n) <= 0 {
		return false, nil
	}
	return b.group.lacksRoom(b, b.longOf(n), cut)
}

// slowest returns the matching delivery with the lowest rate among those whose caller is slow,
// or nil. Callers that hold more than callerShare of the memory go first. A response that a
// caller takes at an ordinary rate has been run, so a new request is refused before that is cut.
// After a gap in the process's own run nothing is known about callers, and none is slow.
func (l *memoryLimit) slowest(match func(*delivery) bool) *delivery {
	if len(l.deliveries) == 0 || l.gaps.inGap() {
		return nil
	}
	now := l.now()
	held := make(map[string]int64)
	for _, d := range l.deliveries {
		held[d.caller] += d.hold.bytes
	}
	over := func(d *delivery) bool { return float64(held[d.caller]) > callerShare*float64(l.limit) }
	var slowest *delivery
	for _, d := range l.deliveries {
		if !d.slow(now, l.sendBuffer) || !match(d) {
			continue
		}
		if slowest == nil || over(d) && !over(slowest) || over(d) == over(slowest) && d.rate(now, l.sendBuffer) < slowest.rate(now, l.sendBuffer) {
			slowest = d
		}
	}
	return slowest
}

// cutAll cuts deliveries and gives their memory back.
func (l *memoryLimit) cutAll(list []*delivery) {
	for _, d := range list {
		d.cut = true
		l.remove(d)
		d.hold.releaseLocked()
		d.setWriteExpiry(time.Unix(1, 0)) // ends the write in progress
	}
}
