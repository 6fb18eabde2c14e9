// Package owner runs a goroutine that owns decision state. Other goroutines access
// the state only by sending functions (messages) to that goroutine.
package owner
