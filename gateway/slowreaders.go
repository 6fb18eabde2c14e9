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
	d.lastProgress = d.began
	l.deliveries = append(l.deliveries, d)
}

// mayWrite sets the time limit for the next piece of a delivery. It reports false if the
// delivery was cut.
func (l *memoryLimit) mayWrite(d *delivery) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !d.cut {
		d.setWriteExpiry(time.Now().Add(stallTimeout))
	}
	return !d.cut
}

// progress records that the caller has taken n bytes.
func (l *memoryLimit) progress(d *delivery, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.written += n
	d.lastProgress = l.now()
}

// endDelivery removes a delivery and reports whether it was cut.
func (l *memoryLimit) endDelivery(d *delivery) (cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !d.cut {
		d.setWriteExpiry(time.Time{})
		l.remove(d)
	}
	return d.cut
}

func (l *memoryLimit) remove(d *delivery) {
	l.deliveries = slices.DeleteFunc(l.deliveries, func(other *delivery) bool { return other == d })
}

// cutSlowest cuts the matching delivery with the lowest rate among those whose caller is slow,
// and gives its memory back. Callers that hold more than callerShare of the memory go first. It
// reports false if there is none: a response that a caller takes at an ordinary rate has been
// run, so a new request is refused before that is cut.
func (l *memoryLimit) cutSlowest(match func(*delivery) bool) bool {
	if len(l.deliveries) == 0 {
		return false
	}
	now := l.now()
	held := make(map[string]int64)
	for _, d := range l.deliveries {
		held[d.caller] += d.hold.bytes
	}
	over := func(d *delivery) bool { return float64(held[d.caller]) > callerShare*float64(l.limit) }
	var slowest *delivery
	for _, d := range l.deliveries {
		if !d.slow(now) || !match(d) {
			continue
		}
		if slowest == nil || over(d) && !over(slowest) || over(d) == over(slowest) && d.rate(now) < slowest.rate(now) {
			slowest = d
		}
	}
	if slowest == nil {
		return false
	}
	slowest.cut = true
	l.remove(slowest)
	slowest.hold.releaseLocked()
	slowest.setWriteExpiry(time.Unix(1, 0)) // ends the write in progress
	return true
}
