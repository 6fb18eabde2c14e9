package entry

import "sync/atomic"

// Counters count requests since the server was made.
type Counters struct {
	Requests    int64 // requests that took a place
	Answered    int64 // answered by a target, whole
	Refused     int64
	Aborted     int64 // answers that were cut
	Abandoned   int64 // callers that went away before an answer
	MemoryBytes int64 // memory held now by bodies, in bytes
}

type counters struct {
	requests, answered, refused, aborted, abandoned, held atomic.Int64
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	c := &s.counters
	return Counters{Requests: c.requests.Load(), Answered: c.answered.Load(), Refused: c.refused.Load(),
		Aborted: c.aborted.Load(), Abandoned: c.abandoned.Load(), MemoryBytes: c.held.Load()}
}
