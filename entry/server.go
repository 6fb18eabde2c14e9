package entry

import (
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/http"
	"path"
	"strings"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	options       Options
	reservedPaths *http.ServeMux
	memory        *semaphore.Weighted
	counters      counters
}

// NewServer returns a handler for callers.
func NewServer(o Options) *Server {
	o.setDefaults()
	s := &Server{options: o, reservedPaths: http.NewServeMux(), memory: semaphore.NewWeighted(o.MemoryBytes)}
	s.reservedPaths.HandleFunc("GET "+wire.PathResolve, s.serveResolve)
	s.reservedPaths.HandleFunc("POST "+wire.PathTickets, s.serveTickets)
	s.reservedPaths.HandleFunc(wire.PathPrefix, s.serveUnknown)
	return s
}

// Drain returns the shutdown state.
func (s *Server) Drain() *Drain { return s.options.Drain }

// ServeHTTP handles requests and control calls of callers. Only paths below
// wire.PathPrefix go through the ServeMux, because it redirects paths that are
// not in canonical form.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body != http.NoBody {
		s.setBodyDeadlines(w)
	}
	switch {
	case !strings.HasPrefix(r.URL.Path, wire.PathPrefix):
		s.serveRequest(w, r)
	case path.Clean(r.URL.Path) != r.URL.Path || r.Method == http.MethodConnect:
		s.serveUnknown(w, r)
	default:
		s.reservedPaths.ServeHTTP(w, r)
	}
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, s.setRequestID(w, r), refusal.New(refusal.UnknownRoute, "this instance does not answer "+r.Method+" "+r.URL.Path))
}

// serveRequest admits, dispatches and answers one request.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := s.setRequestID(w, r)
	if !s.options.Drain.begin() {
		s.refuseRequest(w, r, id, refusal.New(refusal.Leaving, "this instance has stopped serving"))
		return
	}
	defer s.options.Drain.done()
	if s.options.Drain.InFlight() > int64(s.options.Limits.Requests) {
		s.refuseRequest(w, r, id, overloaded("this instance holds as many requests as it may"))
		return
	}
	s.counters.requests.Add(1)
	arrived := s.options.Now()
	memory := requestMemory{server: s}
	defer memory.release()
	e, refused := s.newExchange(w, r, id, &memory)
	if refused != nil {
		s.options.Observer.Refused(id, memory.route, s.refuseRequest(w, r, id, refused), s.options.Now()-arrived)
		return
	}
	e.arrivedAt = arrived
	e.run()
}

// refuseRequest refuses a request whose ticket, if any, has not been used, and
// returns the refusal that was sent.
func (s *Server) refuseRequest(w http.ResponseWriter, r *http.Request, id string, refused *refusal.Refusal) *refusal.Refusal {
	refused = s.voidTicket(r, refused)
	s.refuse(w, id, refused)
	return refused
}

// setRequestID sets the request identifier header of the response and returns the
// identifier. It generates one if the caller sent none or an invalid one.
func (s *Server) setRequestID(w http.ResponseWriter, r *http.Request) string {
	id, err := wire.ParseRequestID(r.Header)
	if id == "" || err != nil {
		id = rand.Text()
	}
	w.Header()[wire.HeaderRequestID] = []string{id}
	return id
}

// beginResponse prepares the caller's connection for a response. It sets a new
// write deadline, because that of the previous response may still be in force.
func (s *Server) beginResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // unsupported only in tests
	if s.options.Drain.Leaving() {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) refuse(w http.ResponseWriter, id string, r *refusal.Refusal) {
	s.counters.refused.Add(1)
	written := *r // r may be shared and must not be changed
	written.RequestID = id
	s.beginResponse(w)
	_ = written.Write(w) // fails only if the caller has disconnected
}

// overloaded returns an overload refusal with a random Retry-After time, so that
// refused callers do not retry at the same time.
func overloaded(reason string) *refusal.Refusal {
	r := refusal.New(refusal.Overload, reason)
	r.RetryAfter = overloadRetryAfter/2 + mathrand.N(overloadRetryAfter)
	return r
}
