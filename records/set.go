package records

import (
	"bytes"
	"cmp"
	"slices"
)

// maxDeletions limits the deleted items that a set remembers. With 560 targets, it
// covers three replacements of all of them.
const maxDeletions = 2048

// Set is a copy of the store's items and of recent deletions, all of one era. One
// goroutine owns it.
type Set struct {
	items    map[string]Record
	position Position
	// oldestRevision is the oldest revision of the era after which Since knows all
	// changes.
	oldestRevision uint64
	deletions      int
}

// NewSet returns an empty set with the zero Position.
func NewSet() *Set { return &Set{items: make(map[string]Record)} }

// Position returns the position in the store's history up to which the set is complete.
func (s *Set) Position() Position { return s.position }

// Len returns the number of records.
func (s *Set) Len() int { return len(s.items) }

// Empty reports whether the set never had any content.
func (s *Set) Empty() bool { return s.position.Revision == 0 }

// Get returns the record of a key, which may be a deletion.
func (s *Set) Get(key string) (Record, bool) {
	r, known := s.items[key]
	return r, known
}

// Apply merges changes, after which the set is complete up to a position. It returns
// the changes that were applied; the others are not newer than the set's records.
// Changes of another era than the set's are ignored.
func (s *Set) Apply(changes []Record, position Position) []Record {
	if position.Era != s.position.Era {
		return nil
	}
	applied := make([]Record, 0, len(changes))
	for _, r := range changes {
		old, known := s.items[r.Key]
		if known && old.Revision >= r.Revision {
			continue
		}
		s.put(old, r)
		applied = append(applied, r)
	}
	s.position.Revision = max(s.position.Revision, position.Revision)
	s.prune()
	return applied
}

// Replace merges a full listing of the store at a position, and returns the changes that
// were applied. Items that are missing from the listing are deleted unless they are
// newer than it; lapsed is the Lapsed flag of these deletions, which is always set if
// the listing begins a later era, or the listing itself has a lapsed deletion of the
// item. A listing of an earlier era is ignored.
func (s *Set) Replace(all []Record, position Position, lapsed bool) []Record {
	items, lapses := splitLapses(all)
	if position.Era > s.position.Era {
		return s.startEra(items, position, lapsed || !s.Empty())
	}
	changes := items
	for _, old := range s.missingFrom(items) {
		if old.Revision <= position.Revision {
			changes = append(changes, Record{Key: old.Key, Revision: position.Revision, Deleted: true, Lapsed: lapsed || lapses[old.Key]})
		}
	}
	later := position.Compare(s.position) > 0
	applied := s.Apply(changes, position)
	if later { // items that were added and deleted since the position before are not known
		s.oldestRevision = position.Revision
	}
	return applied
}

// startEra replaces the items by a listing of a later era. It returns the records that
// differ from those of the earlier era.
func (s *Set) startEra(all []Record, position Position, lapsed bool) []Record {
	before, missing := s.items, s.missingFrom(all)
	*s = Set{items: make(map[string]Record, len(all)), position: position, oldestRevision: position.Revision}
	changed := make([]Record, 0, len(all))
	for _, old := range missing {
		r := Record{Key: old.Key, Revision: position.Revision, Deleted: true, Lapsed: lapsed}
		s.put(Record{}, r)
		changed = append(changed, r)
	}
	for _, r := range all {
		s.put(Record{}, r)
		if old, known := before[r.Key]; !known || old.Deleted || !bytes.Equal(old.Value, r.Value) {
			changed = append(changed, r)
		}
	}
	s.prune()
	return changed
}

// missingFrom returns the items that a listing lacks.
func (s *Set) missingFrom(all []Record) []Record {
	present := make(map[string]bool, len(all))
	for _, r := range all {
		present[r.Key] = true
	}
	var missing []Record
	for key, r := range s.items {
		if !present[key] && !r.Deleted {
			missing = append(missing, r)
		}
	}
	return missing
}

// Since returns the changes after a position, in order of revision. It reports
// false when the set's history does not reach back that far.
func (s *Set) Since(position Position) ([]Record, bool) {
	if position.Compare(s.position) >= 0 {
		return nil, true
	}
	if position.Era != s.position.Era || position.Revision < s.oldestRevision {
		return nil, false
	}
	return s.sorted(func(r Record) bool { return r.Revision > position.Revision }), true
}

// AllWithLapses returns all items and the lapsed deletions, in order of revision. Without
// them a set that is replaced by the items could not tell that others have lapsed.
func (s *Set) AllWithLapses() []Record {
	return s.sorted(func(r Record) bool { return !r.Deleted || r.Lapsed })
}

// splitLapses returns the items of a listing and the keys of its lapsed deletions.
func splitLapses(all []Record) (items []Record, lapses map[string]bool) {
	items, lapses = make([]Record, 0, len(all)), make(map[string]bool)
	for _, r := range all {
		if r.Deleted {
			lapses[r.Key] = r.Lapsed
		} else {
			items = append(items, r)
		}
	}
	return items, lapses
}

func (s *Set) put(old, r Record) {
	if old.Deleted {
		s.deletions--
	}
	if r.Deleted {
		s.deletions++
	}
	s.items[r.Key] = r
}

// prune drops the older half of the deletions when there are more than
// maxDeletions.
func (s *Set) prune() {
	if s.deletions <= maxDeletions {
		return
	}
	deleted := s.sorted(func(r Record) bool { return r.Deleted })
	for _, r := range deleted[:len(deleted)/2] {
		s.oldestRevision = max(s.oldestRevision, r.Revision)
		delete(s.items, r.Key)
		s.deletions--
	}
}

// sorted returns the records that match, in order of revision.
func (s *Set) sorted(match func(Record) bool) []Record {
	var list []Record
	for _, r := range s.items {
		if match(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return list
}
