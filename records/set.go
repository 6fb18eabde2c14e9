package records

import (
	"cmp"
	"slices"
)

// maxDeletions bounds the marks of removed items that a set keeps. At 560
// targets it covers three replacements of all of them.
const maxDeletions = 2048

// Set is a copy of the store's items. One goroutine owns it.
type Set struct {
	items    map[string]Record
	revision uint64
	// oldestRevision is the oldest revision from which Since can tell all changes.
	oldestRevision uint64
	deletions      int
}

// NewSet returns an empty set of revision 0.
func NewSet() *Set { return &Set{items: make(map[string]Record)} }

// Revision is the store's revision up to which the set is complete.
func (s *Set) Revision() uint64 { return s.revision }

// Apply merges changes that are complete up to revision, and returns those that
// were news.
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

// Replace makes the set equal to a full listing of the given revision, and
// returns what changed. Items that are missing from the listing and not newer
// than it count as removed; lapsed marks these removals.
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

// Since returns the changes after a revision, or false when the set's history
// does not reach back to it.
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

// All returns all items that exist.
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

// prune forgets the older half of the removals when there are too many.
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
