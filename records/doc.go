// Package records replicates the items of a store that can only be read.
//
// A Set is one instance's copy. Each record bears the store's revision of its
// last change, so copies merge in any order: the higher revision wins. A copy
// is complete up to its revision and hands out the changes after any revision
// that its history still covers.
package records
