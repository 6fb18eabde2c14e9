package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// initialBodyBytes is the buffer size allocated before the first bytes of a body
// arrive. Memory is not reserved for the declared length, because slow senders
// could then exhaust the memory limit.
const initialBodyBytes = 4 << 10

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

// readBody reads the whole body into memory, so that the request can be retried.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, memory *requestMemory) ([]byte, *refusal.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := s.options.Limits.RequestBodyBytes
	if r.ContentLength > limit {
		return nil, refusal.New(refusal.TooLarge, "the request body is over the limit")
	}
	body, refused := readAll(r, limit, memory)
	if refused == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // unsupported only in tests
	}
	return body, refused
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

// readAll reads a body of at most limit bytes. Its buffer grows as data arrives
// and is counted in memory.
func readAll(r *http.Request, limit int64, memory *requestMemory) ([]byte, *refusal.Refusal) {
	maxBytes := limit + 1 // the extra byte reveals a body over the limit
	if r.ContentLength >= 0 {
		maxBytes = r.ContentLength + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), initialBodyBytes), maxBytes)
			if !memory.grow(size - int64(cap(body))) {
				return nil, overloaded("the memory for request bodies is used up")
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, refusal.New(refusal.TooLarge, "the request body is over the limit")
		case err != nil && err != io.EOF:
			return nil, refusal.New(refusal.BadRequest, "the request body did not arrive whole")
		case err == io.EOF:
			return body, nil
		}
	}
}
