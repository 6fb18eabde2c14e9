// Package dispatch decides when and to which target each request of one pool
// is sent, retried, hedged or refused.
//
// Scheduler is a deterministic state machine: each event is passed in with its
// time and returns the actions to perform. It reads no clock and starts no
// goroutine, so the same events and random seed always give the same actions.
// Task runs a Scheduler in a goroutine of its own and exchanges events and
// actions with the request handlers, which own the sockets.
package dispatch
