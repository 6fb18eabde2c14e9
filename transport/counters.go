package transport

import "sync/atomic"

// CloseReason is the reason why a connection was closed.
type CloseReason uint8

// Reasons why a connection was closed.
const (
	CloseIdle           CloseReason = iota // idle for longer than the idle timeout
	CloseStale                             // the target closed it or sent bytes while it was idle, or it may not be reused
	CloseUnfinished                        // the response was not read to its end, or was cancelled
	CloseUnexpectedData                    // bytes followed the response, or a late response was skipped
	CloseRequested                         // the target requested it, or does not support reuse
	CloseFailed                            // a read or write failed
	CloseOverLimit                         // the connection limit was lowered
	CloseShutdown                          // the client was closed
	CloseUnnamedRefusal                    // a refusal did not name its request, and could be repeated
	closeReasonCount
)

// String returns the value of the reason in metrics.
func (r CloseReason) String() string {
	return [...]string{"idle", "stale", "unfinished", "surplus", "asked", "failed", "over-limit", "shutdown", "unnamed-refusal"}[r]
}

// Counters counts connection events since the client was created.
type Counters struct {
	Opened      int64 // connections opened
	Reused      int64 // exchanges over a connection that had served another exchange
	DialsFailed int64
	// Closed counts closed connections, indexed by CloseReason.
	Closed [closeReasonCount]int64
}

// counters holds the counts of Counters for concurrent updates.
type counters struct {
	opened, reused, dialsFailed atomic.Int64
	closed                      [closeReasonCount]atomic.Int64
}

func (c *counters) snapshot() Counters {
	s := Counters{Opened: c.opened.Load(), Reused: c.reused.Load(), DialsFailed: c.dialsFailed.Load()}
	for i := range c.closed {
		s.Closed[i] = c.closed[i].Load()
	}
	return s
}
