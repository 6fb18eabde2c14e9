package records

// All returns all items, without deleted ones, in order of revision.
func (s *Set) All() []Record { return s.sorted(func(r Record) bool { return !r.Deleted }) }
