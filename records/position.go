package records

import "cmp"

// Position is a place in the order of the store's states. The store's revision alone gives
// no order: it goes back when the store is restored from an older copy, and the same
// revisions are then given out again. The zero value is before all states.
type Position struct {
	// Era rises by one each time that the store is restored. It is 0 if the store names
	// none.
	Era uint64
	// Revision counts the changes within an era.
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// WithDefaultEra returns p, in the given era if p names none: the sender does not know
// eras, and cannot tell a restored store from one that was not.
func (p Position) WithDefaultEra(era uint64) Position {
	if p.Era == 0 {
		p.Era = era
	}
	return p
}
