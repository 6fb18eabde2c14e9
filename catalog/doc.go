// Package catalog provides immutable snapshots of the configuration and of the
// discovered targets.
//
// A Builder creates a new View after each change, so that requests read the current
// one without a lock.
package catalog
