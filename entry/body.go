package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// initialBodyBytes is the room reserved for a body before its first bytes
// arrive. A declared length alone reserves nothing, so that slow senders
// cannot use up the memory bound.
const initialBodyBytes = 4 << 10

// requestMemory is memory charged to the server's bound. Its release must be called once.
type requestMemory struct {
	route  string // of the request, once it is matched
	server *Server
	bytes  int64
}

// grow charges n more bytes, or returns false when the bound is reached.
func (h *requestMemory) grow(n int64) bool {
	if !h.server.memory.TryAcquire(n) {
		return false
	}
	h.server.counters.memory.Add(n)
	h.bytes += n
	return true
}

func (h *requestMemory) release() {
	h.server.counters.memory.Add(-h.bytes)
	h.server.memory.Release(h.bytes)
	h.bytes = 0
}

// readBody holds the whole body, so that it can be sent again.
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

// setBodyDeadlines bounds the time to receive a request's body. After a refusal the
// bound stays, since net/http then reads and drops the rest.
func (s *Server) setBodyDeadlines(w http.ResponseWriter) {
	end := time.Now().Add(time.Duration(s.options.Limits.BodyTimeoutMillis) * time.Millisecond)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(end)  // unsupported only in tests
	_ = controller.SetWriteDeadline(end) // replaces that of an earlier answer before "100 Continue" is written
}

// readAll reads a body of at most limit bytes in memory that grows as it arrives.
func readAll(r *http.Request, limit int64, memory *requestMemory) ([]byte, *refusal.Refusal) {
	maxBytes := limit + 1 // one more shows that the body is too large
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
