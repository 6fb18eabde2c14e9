// Package catalog holds what an instance knows of the configuration and of the
// discovered targets, as immutable snapshots.
//
// A View is replaced whole on each change, so the request path reads it without
// a lock.
package catalog
