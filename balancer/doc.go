// Package balancer tracks the state of the targets of one pool as seen by one
// instance, and picks the target of each request.
//
// A Balancer is a deterministic state machine: it reads no clock, starts no
// goroutine and uses no locks, so one goroutine must own it. Times are durations
// since the instance's start on the monotonic clock.
package balancer
