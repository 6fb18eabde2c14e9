package records

import (
	"cmp"
	"slices"
)

// maxDeletions limits the deleted items that a set remembers. With 560 targets, it
// covers three replacements of all of them.
const maxDeletions = 2048

// Set is a copy of the store's items and of recent deletions. One goroutine owns it.
type Set struct {
	items    map[string]Record
	revision uint64
	// oldestRevision is the oldest revision after which Since knows all changes.
	oldestRevision uint64
	deletions      int
}

// NewSet returns an empty set with revision 0.
func NewSet() *Set { return &Set{items: make(map[string]Record)} }

// Revision returns the store's revision up to which the set is complete.
func (s *Set) Revision() uint64 { return s.revision }

// Apply merges changes, after which the set is complete up to revision. It returns
// the changes that were applied; the others are not newer than the set's records.
func (s *Set) Apply(changes []Record, revision uint64) []Record {
	applied := make([]Record, 0, len(changes))
	for _, r := range changes {
		old, known := s.items[r.Key]
		if known && old.Revision >= r.Revision {
			continue
		}
		s.put(old, r)
		applied = append(applied, r)
	}
	s.revision = max(s.revision, revision)
	s.prune()
	return applied
}

// Replace merges a full listing of the store at the given revision, and returns
// the changes that were applied. Items that are missing from the listing are
// deleted unless they are newer than it; lapsed is the Lapsed flag of these
// deletions.
func (s *Set) Replace(all []Record, revision uint64, lapsed bool) []Record {
	present := make(map[string]bool, len(all))
	for _, r := range all {
		present[r.Key] = true
	}
	changes := slices.Clone(all)
	for key, old := range s.items {
		if !present[key] && !old.Deleted && old.Revision <= revision {
			changes = append(changes, Record{Key: key, Revision: revision, Deleted: true, Lapsed: lapsed})
		}
	}
	initial := s.revision == 0
	applied := s.Apply(changes, revision)
	if initial {
		s.oldestRevision = revision
	}
	return applied
}

// Since returns the changes after a revision, in order of revision. It reports
// false when the set's history does not reach back that far.
func (s *Set) Since(revision uint64) ([]Record, bool) {
	if revision < s.oldestRevision {
		return nil, false
	}
	if revision >= s.revision {
		return nil, true
	}
	var changes []Record
	for _, r := range s.items {
		if r.Revision > revision {
			changes = append(changes, r)
		}
	}
	sortByRevision(changes)
	return changes, true
}

// All returns all items, without deleted ones, in order of revision.
func (s *Set) All() []Record {
	all := make([]Record, 0, len(s.items))
	for _, r := range s.items {
		if !r.Deleted {
			all = append(all, r)
		}
	}
	sortByRevision(all)
	return all
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
	deleted := make([]Record, 0, s.deletions)
	for _, r := range s.items {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	sortByRevision(deleted)
	for _, r := range deleted[:len(deleted)/2] {
		s.oldestRevision = max(s.oldestRevision, r.Revision)
		delete(s.items, r.Key)
		s.deletions--
	}
}

func sortByRevision(list []Record) {
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
