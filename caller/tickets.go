package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// ticketMargin is the part of a ticket's validity that is left for its
// request to arrive: tickets are used in the first half only.
const ticketMargin = 2

// maxStocks bounds the tickets held per instance, in units of Options.Tickets.
const maxStocks = 4

// stock holds unused tickets of each instance, by address.
type stock struct {
	client *Client

	mu   sync.Mutex
	held map[string]heldTickets
}

// heldTickets are tickets of one incarnation of an instance.
type heldTickets struct {
	incarnation string
	expires     time.Time
	tickets     []string
}

// take returns an unused ticket of an instance.
func (s *stock) take(ctx context.Context, address string) (string, error) {
	if ticket, ok := s.pop(address); ok {
		return ticket, nil
	}
	began := time.Now()
	var answer entry.TicketResponse
	path := wire.PathTickets + "?count=" + strconv.Itoa(s.client.options.TicketBatch)
	if err := s.client.ask(ctx, address, http.MethodPost, path, &answer); err != nil {
		return "", err
	}
	if len(answer.Tickets) == 0 {
		return "", errors.New("the instance issued no tickets")
	}
	validity := time.Duration(answer.ValidForMillis) * time.Millisecond
	fresh := heldTickets{incarnation: answer.Incarnation, expires: began.Add(validity / ticketMargin),
		tickets: answer.Tickets[1:]}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.held[address]; old.incarnation == fresh.incarnation && time.Now().Before(old.expires) &&
		len(old.tickets) < maxStocks*s.client.options.TicketBatch { // another call fetched at the same time
		fresh.tickets, fresh.expires = append(fresh.tickets, old.tickets...), old.expires
	}
	s.held[address] = fresh
	return answer.Tickets[0], nil
}

func (s *stock) pop(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[address]
	n := len(held.tickets)
	if n == 0 || !time.Now().Before(held.expires) {
		delete(s.held, address)
		return "", false
	}
	ticket := held.tickets[n-1]
	held.tickets = held.tickets[:n-1]
	s.held[address] = held
	return ticket, true
}

// drop forgets the tickets of an instance, which may have been replaced.
func (s *stock) drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, address)
}
