// Package backoff paces repeated calls: exponential backoff with jitter, and a sleep
// that a context can end.
package backoff
