// Package records replicates the items of a read-only store.
//
// A Set is the copy of one instance. Each record has the store's revision of its
// last change, so changes can be merged in any order: the higher revision wins. A
// copy is complete up to its revision, and returns the changes after any earlier
// revision that its history still covers.
package records
