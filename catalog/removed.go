package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemoved limits the removed targets that a builder remembers. With 560 targets, it
// covers three replacements of all of them.
const maxRemoved = 2048

// removedTargets remembers the last registration of removed targets, so that an older
// state of the store does not bring them back. The zero value is empty.
type removedTargets struct {
	entries map[string]removedTarget
	count   uint64 // number of removals so far
}

type removedTarget struct {
	last *Target
	// number is the number of the removal, which orders them.
	number uint64
}

// add remembers the last registration under a key. It drops the older half of the entries
// when there are more than maxRemoved.
func (r *removedTargets) add(key string, last *Target) {
	if r.entries == nil {
		r.entries = make(map[string]removedTarget)
	}
	r.count++
	r.entries[key] = removedTarget{last, r.count}
	if len(r.entries) <= maxRemoved {
		return
	}
	keys := slices.SortedFunc(maps.Keys(r.entries), func(a, b string) int {
		return cmp.Compare(r.entries[a].number, r.entries[b].number)
	})
	for _, old := range keys[:len(keys)/2] {
		delete(r.entries, old)
	}
}

// isOutdated reports whether a registration is not later than the last one before the
// removal. It is not if one of the start times is unknown.
func (r *removedTargets) isOutdated(key string, t *Target) bool {
	e, removed := r.entries[key]
	return removed && t.compareRegistration(e.last) <= 0
}

// forget ends the memory of a removal.
func (r *removedTargets) forget(key string) { delete(r.entries, key) }
