// Package records replicates the items of a read-only store.
//
// A Set is the copy of one instance. Each record has the store's revision of its
// last change, so changes can be merged in any order: the higher revision wins. A
// copy is complete up to its position, and returns the changes after any earlier
// position that its history still covers. Revisions are compared within one era of
// the store only: only a full listing leads from one era to the next.
package records
