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
	options  Options
	reserved *http.ServeMux
	memory   *semaphore.Weighted
	counters counters
}

// NewServer returns a handler.
func NewServer(o Options) *Server {
	o.setDefaults()
	s := &Server{options: o, reserved: http.NewServeMux(), memory: semaphore.NewWeighted(o.MemoryBytes)}
	s.reserved.HandleFunc("GET "+wire.PathResolve, s.serveResolve)
	s.reserved.HandleFunc("POST "+wire.PathTickets, s.serveTickets)
	s.reserved.HandleFunc(wire.PathPrefix, s.serveUnknown)
	return s
}

// Drain returns the shutdown state.
func (s *Server) Drain() *Drain { return s.options.Drain }

// ServeHTTP answers one call of a caller. Only paths below the reserved prefix
// go through the ServeMux, which redirects paths that it would write otherwise.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body != http.NoBody {
		s.limitBody(w)
	}
	switch {
	case !strings.HasPrefix(r.URL.Path, wire.PathPrefix):
		s.serveRequest(w, r)
	case path.Clean(r.URL.Path) != r.URL.Path || r.Method == http.MethodConnect:
		s.serveUnknown(w, r)
	default:
		s.reserved.ServeHTTP(w, r)
	}
}

func (s *Server) serveUnknown(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, s.identify(w, r), refusal.New(refusal.UnknownRoute, "this instance does not answer "+r.Method+" "+r.URL.Path))
}

// serveRequest takes one request through the request path.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := s.identify(w, r)
	if !s.options.Drain.begin() {
		s.refuseRequest(w, r, id, refusal.New(refusal.Leaving, "this instance has stopped serving"))
		return
	}
	defer s.options.Drain.end()
	if s.options.Drain.InFlight() > int64(s.options.Limits.Requests) {
		s.refuseRequest(w, r, id, overloaded("this instance holds as many requests as it may"))
		return
	}
	s.counters.requests.Add(1)
	arrived := s.options.Now()
	memory := held{server: s}
	defer memory.release()
	e, refused := s.newExchange(w, r, id, &memory)
	if refused != nil {
		s.options.Observer.Refused(id, memory.route, s.refuseRequest(w, r, id, refused), s.options.Now()-arrived)
		return
	}
	e.arrived = arrived
	e.run()
}

// refuseRequest refuses a request before its ticket, if it has one, was used,
// and returns what the caller was told.
func (s *Server) refuseRequest(w http.ResponseWriter, r *http.Request, id string, refused *refusal.Refusal) *refusal.Refusal {
	refused = s.voidTicket(r, refused)
	s.refuse(w, id, refused)
	return refused
}

// identify gives the answer the request's identifier, which is made when the
// caller sent none that can be used.
func (s *Server) identify(w http.ResponseWriter, r *http.Request) string {
	id, err := wire.ParseRequestID(r.Header)
	if id == "" || err != nil {
		id = rand.Text()
	}
	w.Header()[wire.HeaderRequestID] = []string{id}
	return id
}

// beginAnswer prepares the caller's connection for an answer. Every write sets
// a new deadline, so that none is left over from an earlier answer.
func (s *Server) beginAnswer(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // unsupported only in tests
	if s.options.Drain.Leaving() {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) refuse(w http.ResponseWriter, id string, r *refusal.Refusal) {
	s.counters.refused.Add(1)
	written := *r // the decision may belong to someone else
	written.RequestID = id
	s.beginAnswer(w)
	_ = written.Write(w) // a caller that went away
}

// overloaded refuses with a time to try again that differs between callers, so
// that they do not come back together.
func overloaded(reason string) *refusal.Refusal {
	r := refusal.New(refusal.Overload, reason)
	r.RetryAfter = overloadRetry/2 + mathrand.N(overloadRetry)
	return r
}
