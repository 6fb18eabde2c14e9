package membership

import (
	"slices"
	"strings"
	"time"
)

// drainingTarget is a target that was last seen draining at the time seen.
type drainingTarget struct {
	address string
	seen    time.Duration
}

// drainingSet holds the targets seen draining within DrainingTTL, sorted by
// address, at most maxDraining of them.
type drainingSet struct {
	targets []drainingTarget
	cursor  int // index of the target that nextBatch returned last
}

// add records that a target was seen draining and reports whether it was added
// to the set. It ignores observations that have expired.
func (d *drainingSet) add(now time.Duration, address string, seen time.Duration) bool {
	if now-seen >= DrainingTTL || len(address) > maxFieldBytes {
		return false
	}
	n, found := slices.BinarySearchFunc(d.targets, address, func(t drainingTarget, a string) int {
		return strings.Compare(t.address, a)
	})
	if found {
		d.targets[n].seen = max(d.targets[n].seen, seen)
		return false
	}
	if len(d.targets) >= maxDraining {
		return false
	}
	d.targets = slices.Insert(d.targets, n, drainingTarget{address, seen})
	return true
}

func (d *drainingSet) expire(now time.Duration) {
	d.targets = slices.DeleteFunc(d.targets, func(t drainingTarget) bool { return now-t.seen >= DrainingTTL })
}

// nextBatch returns at most n targets. Successive calls cycle through the set.
func (d *drainingSet) nextBatch(n int) []drainingTarget {
	n = min(n, len(d.targets))
	batch := make([]drainingTarget, 0, n)
	for range n {
		d.cursor = (d.cursor + 1) % len(d.targets)
		batch = append(batch, d.targets[d.cursor])
	}
	return batch
}
