// Package acceptqueue closes listeners without a reset of connections that callers
// have opened but the program has not accepted yet.
//
// The kernel completes connections on its own and queues them. It resets those
// that are still queued when the listener is closed; their callers may have sent a
// request and cannot know that it was never read.
package acceptqueue
