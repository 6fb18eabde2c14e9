package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// MaxTickets is the maximum number of tickets that one call issues.
const MaxTickets = 1000

// Tickets issues tickets for non-idempotent requests.
type Tickets interface {
	// Issue returns count tickets; count is from 1 to MaxTickets.
	Issue(count int) TicketResponse
}

// TicketResponse is the response to a tickets call.
type TicketResponse struct {
	// Incarnation identifies the run of the instance that accepts the tickets.
	Incarnation string `json:"incarnation"`
	// ValidForMillis is the time for which the tickets may be used, in milliseconds.
	ValidForMillis int64    `json:"valid_for_ms"`
	Tickets        []string `json:"tickets"`
}

func (s *Server) serveTickets(w http.ResponseWriter, r *http.Request) {
	id := s.setRequestID(w, r)
	if s.options.Tickets == nil {
		s.refuse(w, id, refusal.New(refusal.UnknownRoute, "this instance issues no tickets"))
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil || count < 1 || count > MaxTickets {
			s.refuse(w, id, refusal.New(refusal.BadRequest, fmt.Sprintf("count %q is not a number from 1 to %d", text, MaxTickets)))
			return
		}
	}
	s.writeJSON(w, s.options.Tickets.Issue(count))
}

func (s *Server) serveResolve(w http.ResponseWriter, r *http.Request) {
	s.setRequestID(w, r)
	s.writeJSON(w, s.options.Resolve(r.URL.Query().Get("failure_domain")))
}

func (s *Server) writeJSON(w http.ResponseWriter, response any) {
	s.beginResponse(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(response) // fails only if the caller has disconnected
}
