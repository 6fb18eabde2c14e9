package catalog

import (
	"cmp"
	"slices"

	"github.com/dogwoodroute/dogwoodroute/internal/sortedmerge"
)

// targetLists holds the targets that accept new requests, by service, for views. It applies
// changes to the lists of the last view, so that a change costs no sorting of all targets.
type targetLists struct {
	lists  map[string][]*Target // sorted by ID; shared with views and never modified
	listed map[string]*Target   // by key, those in lists
	// changed are the keys whose entries may have changed since the last update, and all is
	// set if all may have.
	changed map[string]bool
	all     bool
}

func newTargetLists() targetLists {
	return targetLists{lists: make(map[string][]*Target), listed: make(map[string]*Target), changed: make(map[string]bool)}
}

// update returns the lists with the present targets. current returns the target of a key
// that accepts new requests, nil if there is none; keys are those of all entries. Lists
// without a change are the same slices as before.
func (l *targetLists) update(current func(key string) *Target, keys func(yield func(string) bool)) map[string][]*Target {
	if l.all {
		for key := range l.listed {
			l.changed[key] = true
		}
		for key := range keys {
			l.changed[key] = true
		}
		l.all = false
	}
	removed, added := make(map[string]map[*Target]bool), make(map[string][]*Target)
	for key := range l.changed {
		before, now := l.listed[key], current(key)
		if before == now {
			continue
		}
		if before != nil {
			if removed[before.Service] == nil {
				removed[before.Service] = make(map[*Target]bool)
			}
			removed[before.Service][before] = true
			delete(l.listed, key)
		}
		if now != nil {
			added[now.Service] = append(added[now.Service], now)
			l.listed[key] = now
		}
	}
	clear(l.changed)
	lists := make(map[string][]*Target, len(l.lists)+1)
	for service, list := range l.lists {
		lists[service] = list
	}
	for service := range removed {
		l.replace(lists, service, removed[service], added[service])
	}
	for service := range added {
		if removed[service] == nil {
			l.replace(lists, service, nil, added[service])
		}
	}
	l.lists = lists
	return lists
}

// replace sets the list of a service to the one before without removed and with added.
func (l *targetLists) replace(lists map[string][]*Target, service string, removed map[*Target]bool, added []*Target) {
	compare := func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(added, compare)
	list := sortedmerge.Update(lists[service], func(t *Target) bool { return removed[t] }, added, compare)
	if len(list) == 0 {
		delete(lists, service)
		return
	}
	lists[service] = list
}
