// Package edgecli implements the command line of an entry instance on a platform with a
// read-only store.
package edgecli
