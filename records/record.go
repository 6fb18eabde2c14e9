package records

// Record is an item of the store, or a tombstone for a deleted one.
type Record struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change of the item, in the era of the
	// set or listing that contains the record.
	Revision uint64
	// Deleted is true when the item was deleted.
	Deleted bool
	// Lapsed is true for a deletion found just after the store was unavailable or was
	// restored. The item may have expired only because it could not be renewed, or may be
	// missing from the copy and be written again.
	Lapsed bool
}
