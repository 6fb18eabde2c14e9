package entry

import "sync/atomic"

// Counters counts requests since the server was created.
type Counters struct {
	Requests    int64 // requests within the limit on requests in flight
	Answered    int64 // responses of targets, and replays of recorded ones
	Refused     int64
	Aborted     int64 // responses aborted after they had started
	Abandoned   int64 // callers that disconnected before a response
	MemoryBytes int64 // memory of request and response bodies in use now
}

type counters struct {
	requests, answered, refused, aborted, abandoned, memoryBytes atomic.Int64
}

// Counters returns a snapshot. The counts are read one by one, not atomically.
func (s *Server) Counters() Counters {
	c := &s.counters
	return Counters{Requests: c.requests.Load(), Answered: c.answered.Load(), Refused: c.refused.Load(),
		Aborted: c.aborted.Load(), Abandoned: c.abandoned.Load(), MemoryBytes: c.memoryBytes.Load()}
}
