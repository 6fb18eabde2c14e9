package transport

import "sync/atomic"

// CloseReason is why a connection was closed.
type CloseReason uint8

// Reasons to close a connection.
const (
	CloseIdle           CloseReason = iota // idle for longer than the idle timeout
	CloseStale                             // the target closed it, or sent bytes, while it was idle
	CloseUnfinished                        // the answer was not read to its end, or was cancelled
	CloseUnexpectedData                    // bytes followed the answer
	CloseRequested                         // the target asked for it
	CloseFailed                            // a read or write failed
	CloseOverLimit                         // the limit of connections fell
	CloseShutdown                          // the client was closed
	closeReasons
)

// String names the reason for metrics.
func (r CloseReason) String() string {
	return [...]string{"idle", "stale", "unfinished", "surplus", "asked", "failed", "over-limit", "shutdown"}[r]
}

// Counters count connection events since the client was made.
type Counters struct {
	Opened      int64 // connections opened
	Reused      int64 // exchanges on a connection that had served another one
	DialsFailed int64
	// Closed counts closed connections by CloseReason.
	Closed [closeReasons]int64
}

// counters is the concurrent form of Counters.
type counters struct {
	opened, reused, dialsFailed atomic.Int64
	closed                      [closeReasons]atomic.Int64
}

func (c *counters) snapshot() Counters {
	s := Counters{Opened: c.opened.Load(), Reused: c.reused.Load(), DialsFailed: c.dialsFailed.Load()}
	for i := range c.closed {
		s.Closed[i] = c.closed[i].Load()
	}
	return s
}
