// Package backoff paces calls to outside systems: growing, jittered pauses, and
// a sleep that ends with its context.
package backoff
