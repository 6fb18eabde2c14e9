package entry

import (
	"net/http"
	"strings"

	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// newExchange validates a request, matches it to a route, and reads its body.
// It sets memory.route once a route matches. Nothing has been sent to a target
// when it refuses, so each refusal says "not run".
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, id string, memory *requestMemory) (*exchange, *refusal.Refusal) {
	if err := checkForwardable(r); err != "" {
		return nil, refusal.New(refusal.BadRequest, err)
	}
	view := s.options.View()
	if view == nil {
		return nil, refusal.New(refusal.StaleView, "this instance has no configuration yet")
	}
	route := view.Matcher.Match(r.Method, r.Host, r.URL.Path)
	if route == nil {
		return nil, refusal.New(refusal.UnknownRoute, "no route matches "+r.URL.Path)
	}
	memory.route = route.Name
	s.options.Observer.Received(id, route.Name)
	if refused := closedRefusal(view, route); refused != nil {
		return nil, refused
	}
	if refused := view.Limiters.limitRefusal(route); refused != nil {
		return nil, refused
	}
	request, refused := s.newDispatchRequest(route, r.Header)
	if refused != nil {
		return nil, refused
	}
	if s.options.Drain.mayOutlive(request.Deadline) {
		return nil, refusal.New(refusal.Leaving, "this instance might end before the deadline of the request")
	}
	ticket, refused := s.ticketOf(route, r.Header)
	if refused != nil {
		return nil, refused
	}
	body, refused := s.readBody(w, r, memory)
	if refused != nil {
		return nil, refused
	}
	if request.Deadline <= s.options.Now() {
		return nil, refusal.New(refusal.Deadline, "the deadline passed while the request arrived")
	}
	return &exchange{server: s, writer: w, request: r, id: id, route: route.Name, ticket: ticket, body: body,
		memory: memory, dispatchRequest: request, task: view.Pools[route.Pool], results: make(chan attemptResult)}, nil
}

// checkForwardable returns the reason why a request cannot be forwarded to a
// target, or an empty string if it can.
func checkForwardable(r *http.Request) string {
	if _, err := wire.ParseRequestID(r.Header); err != nil {
		return err.Error()
	}
	switch {
	case r.Method == http.MethodConnect:
		return "CONNECT is not supported"
	case r.Header["Upgrade"] != nil:
		return "protocol upgrades are not supported"
	case strings.Contains(r.URL.Path, "/.") && hasDotSegment(r.URL.Path):
		// The target could normalize the path to one that belongs to another route.
		return "the path has dot segments"
	}
	return ""
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// closedRefusal returns a refusal with the operator's reason if the route or its
// pool is closed in the tables, or nil.
func closedRefusal(view *View, route *tables.Route) *refusal.Refusal {
	if route.Closed != "" {
		return refusal.New(refusal.RouteClosed, route.Closed)
	}
	if pool, ok := view.Document.Pool(route.Pool); ok && pool.Closed != "" {
		return refusal.New(refusal.PoolClosed, pool.Closed)
	}
	return nil
}

// ticketOf returns the ticket of a request to a non-idempotent route, or a
// refusal if it is missing, is malformed, or Options.Once is nil. It returns an
// empty ticket for idempotent routes, whose tickets are ignored.
func (s *Server) ticketOf(route *tables.Route, h http.Header) (string, *refusal.Refusal) {
	if route.Idempotent {
		return "", nil
	}
	ticket, err := wire.ParseTicket(h)
	switch {
	case err != nil:
		return "", refusal.New(refusal.BadRequest, err.Error())
	case ticket == "" || s.options.Once == nil:
		return "", refusal.New(refusal.TicketRequired, "requests of route "+route.Name+" need a ticket of this instance")
	}
	return ticket, nil
}

// newDispatchRequest builds the input of the dispatch task from the route and
// the caller's deadline and attempt headers. The route's deadline applies if the
// caller sent none.
func (s *Server) newDispatchRequest(route *tables.Route, h http.Header) (dispatch.Request, *refusal.Refusal) {
	remaining, ok, err := wire.ParseDeadline(h)
	if err != nil {
		return dispatch.Request{}, refusal.New(refusal.BadRequest, err.Error())
	}
	if !ok {
		remaining = route.Deadline()
	}
	if remaining <= 0 {
		return dispatch.Request{}, refusal.New(refusal.Deadline, "the request arrived after its deadline")
	}
	attempt, err := wire.ParseAttempt(h)
	if err != nil {
		return dispatch.Request{}, refusal.New(refusal.BadRequest, err.Error())
	}
	return dispatch.Request{Class: route.Class, Priority: route.Priority, Idempotent: route.Idempotent,
		Hedge: route.Hedge, MaxAttempts: route.MaxAttempts, Attempt: attempt,
		Deadline: s.options.Now() + min(remaining, tables.MaxDeadline)}, nil
}
