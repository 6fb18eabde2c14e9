// Package callerconn holds the connections of callers to an HTTP server and ends them
// without cutting requests.
//
// A connection is closed while it is idle only by the goroutine that reads it: a close
// from another one could come after a request was read and before it is answered, and its
// caller could not know whether it has run. Close therefore only ends the wait for a
// request, if there is one. The same holds for the time limits of connections, which may
// change while the server runs.
//
// The kernel completes connections on its own and queues them. It resets those that are
// still queued when the listener is closed; their callers may have sent a request and
// cannot know that it was never read. Listener accepts them before it closes.
package callerconn
