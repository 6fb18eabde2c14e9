package entry

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// requestMemory counts the memory of one request against Options.MemoryBytes.
// release must be called when the request ends.
type requestMemory struct {
	route  string // name of the matched route; empty until a route matches
	server *Server
	bytes  int64
}

// grow reserves n more bytes. It returns false and reserves nothing if the memory
// limit would be exceeded.
func (m *requestMemory) grow(n int64) bool {
	if !m.server.memory.TryAcquire(n) {
		return false
	}
	m.server.counters.memoryBytes.Add(n)
	m.bytes += n
	return true
}

func (m *requestMemory) release() {
	m.server.counters.memoryBytes.Add(-m.bytes)
	m.server.memory.Release(m.bytes)
	m.bytes = 0
}

// readBody reads the whole body into memory, so that the request can be retried. Memory
// is reserved as data arrives and not for the declared length, because slow senders could
// then exhaust the memory limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, memory *requestMemory) (*segments.Buffer, *refusal.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := s.options.Limits.RequestBodyBytes
	if r.ContentLength > limit {
		return nil, refusal.New(refusal.TooLarge, "the request body is over the limit")
	}
	body := new(segments.Buffer)
	err := body.Fill(r.Body, r.ContentLength, limit, memory.grow)
	switch {
	case errors.Is(err, segments.ErrNoMemory):
		return nil, overloaded("the memory for request bodies is used up")
	case errors.Is(err, segments.ErrTooLong):
		return nil, refusal.New(refusal.TooLarge, "the request body is over the limit")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the request body did not arrive whole")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // unsupported only in tests
	return body, nil
}

// setBodyDeadlines limits the time to receive a request's body. The deadline
// stays in force after a refusal, because net/http then reads and discards the
// rest of the body.
func (s *Server) setBodyDeadlines(w http.ResponseWriter) {
	end := time.Now().Add(time.Duration(s.options.Limits.BodyTimeoutMillis) * time.Millisecond)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(end)  // unsupported only in tests
	_ = controller.SetWriteDeadline(end) // replaces the deadline of the previous response before "100 Continue" is written
}
