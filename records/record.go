package records

// Record is one item of the store, or the mark of its removal.
type Record struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change.
	Revision uint64
	// Deleted is true when the item was removed.
	Deleted bool
	// Lapsed is true for a removal that was seen just after the store had been
	// unavailable: the item may have expired only because it could not be
	// renewed.
	Lapsed bool
}
