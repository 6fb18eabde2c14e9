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

// ticketValidityDivisor is the divisor of a ticket's validity: a ticket is used
// only in the first half, so that its request arrives before the ticket expires.
const ticketValidityDivisor = 2

// maxStoredBatches limits the stored tickets per instance, in units of
// Options.TicketBatch.
const maxStoredBatches = 4

// ticketStore stores unused tickets by the address of their instance.
type ticketStore struct {
	client *Client

	mu        sync.Mutex
	byAddress map[string]ticketBatch
}

// ticketBatch is the tickets of one incarnation of an instance.
type ticketBatch struct {
	incarnation string
	expires     time.Time
	tickets     []string
}

// get returns an unused ticket of an instance. If none is stored, it requests
// Options.TicketBatch tickets and stores the others.
func (s *ticketStore) get(ctx context.Context, address string) (string, error) {
	if ticket, ok := s.pop(address); ok {
		return ticket, nil
	}
	started := time.Now()
	var response entry.TicketResponse
	path := wire.PathTickets + "?count=" + strconv.Itoa(s.client.options.TicketBatch)
	if err := s.client.controlCall(ctx, address, http.MethodPost, path, &response); err != nil {
		return "", err
	}
	if len(response.Tickets) == 0 {
		return "", errors.New("the instance issued no tickets")
	}
	validity := time.Duration(response.ValidForMillis) * time.Millisecond
	batch := ticketBatch{incarnation: response.Incarnation, expires: started.Add(validity / ticketValidityDivisor),
		tickets: response.Tickets[1:]}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byAddress[address]; old.incarnation == batch.incarnation && time.Now().Before(old.expires) &&
		len(old.tickets) < maxStoredBatches*s.client.options.TicketBatch { // another call of get has stored tickets meanwhile
		batch.tickets, batch.expires = append(batch.tickets, old.tickets...), old.expires
	}
	s.byAddress[address] = batch
	return response.Tickets[0], nil
}

// pop returns a stored ticket that has not expired.
func (s *ticketStore) pop(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.byAddress[address]
	n := len(batch.tickets)
	if n == 0 || !time.Now().Before(batch.expires) {
		delete(s.byAddress, address)
		return "", false
	}
	ticket := batch.tickets[n-1]
	batch.tickets = batch.tickets[:n-1]
	s.byAddress[address] = batch
	return ticket, true
}

// discard removes the stored tickets of an instance that may have been replaced by
// another incarnation.
func (s *ticketStore) discard(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byAddress, address)
}
