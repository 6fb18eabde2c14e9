// Package acceptqueue stops HTTP servers without cutting requests that callers have
// just sent.
//
// The kernel completes connections on its own and queues them. It resets those
// that are still queued when the listener is closed; their callers may have sent a
// request and cannot know that it was never read.
package acceptqueue
