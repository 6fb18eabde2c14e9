package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const (
	// absentRetention is how long the state of a target is kept whose entry is away. The
	// target may run, answer requests in progress, and register again when it reaches the
	// store; what it has said holds until it says otherwise.
	absentRetention = 10 * time.Minute
	// maxAbsent bounds the memory for such targets. With 560 targets, it covers a
	// replacement of all of them.
	maxAbsent = 1024
)

// absentTargets holds the state of targets without an entry, by incarnation: another one
// with the same ID or address starts with none. The zero value is empty.
type absentTargets struct {
	entries map[catalog.Incarnation]absentTarget
}

type absentTarget struct {
	*target
	since time.Duration
}

// add keeps the state of a target whose entry is away from now on.
func (a *absentTargets) add(now time.Duration, t *target) {
	if a.entries == nil {
		a.entries = make(map[catalog.Incarnation]absentTarget)
	}
	a.entries[t.Incarnation()] = absentTarget{t, now}
}

// get returns the state of a target, nil if there is none.
func (a *absentTargets) get(id catalog.Incarnation) *target { return a.entries[id].target }

// take removes and returns the state of a target that is registered again, nil if there is
// none.
func (a *absentTargets) take(id catalog.Incarnation) *target {
	t := a.get(id)
	delete(a.entries, id)
	return t
}

// expire drops the targets that have been away for absentRetention, and the older half if
// there are more than maxAbsent.
func (a *absentTargets) expire(now time.Duration) {
	maps.DeleteFunc(a.entries, func(_ catalog.Incarnation, t absentTarget) bool { return now-t.since >= absentRetention })
	if len(a.entries) <= maxAbsent {
		return
	}
	ids := slices.SortedFunc(maps.Keys(a.entries), func(x, y catalog.Incarnation) int {
		return cmp.Compare(a.entries[x].since, a.entries[y].since)
	})
	for _, id := range ids[:len(ids)/2] {
		delete(a.entries, id)
	}
}
