package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

const (
	// patience is the deadline that callers give; giveUp is when they close the
	// connection of a request without an answer.
	patience = 2 * time.Second
	giveUp   = 3 * time.Second
	// maxThink bounds the time between two requests of a caller.
	maxThink = 40 * time.Millisecond
	// dialTimeout bounds opening a connection and asking where to connect.
	dialTimeout = 500 * time.Millisecond
)

// routes that callers use, and whether they may run twice. One more route is
// added and removed during a run, without callers.
var routes = []struct {
	name       string
	idempotent bool
}{{"read", true}, {"write", false}}

// caller sends requests one after the other and keeps its connection as long as
// it can, as the users' callers do. Its goroutine owns it.
type caller struct {
	number  int
	fleet   *fleet
	ledger  *ledger
	dialect gateway.Dialect
	client  *http.Client // asks where to connect
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	name    string // the instance of the connection
	sends   int
}

func (c *caller) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		backoff.Sleep(ctx, upTo(c.random, maxThink))
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		route := routes[c.random.IntN(len(routes))]
		c.ask(route.name, route.idempotent)
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect asks any instance where to connect and connects there.
func (c *caller) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	asked := c.fleet.instances[c.random.IntN(len(c.fleet.instances))]
	addresses, err := platformtest.Resolve(ctx, c.client, asked.settings.Addresses.Resolve, host, domains[c.number%len(domains)])
	if err != nil || len(addresses) == 0 {
		return false // that instance is down; the caller asks another one
	}
	chosen := c.fleet.at(addresses[c.random.IntN(min(2, len(addresses)))])
	return chosen != nil && c.dial(ctx, chosen)
}

func (c *caller) dial(ctx context.Context, chosen *instance) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", chosen.entry.address())
	if err != nil {
		return false
	}
	c.conn, c.reader, c.name = conn, bufio.NewReader(conn), chosen.settings.ID
	return true
}

// askAt sends one request on a route to an instance and returns its status, 0
// without an answer.
func (c *caller) askAt(ctx context.Context, i *instance, route string) int {
	backoff.Sleep(ctx, upTo(c.random, maxThink))
	if c.conn == nil && !c.dial(ctx, i) {
		return 0
	}
	return c.ask(route, route != routes[1].name)
}

// ask sends one request, records what comes back and returns the status.
func (c *caller) ask(route string, idempotent bool) int {
	c.sends++
	s := &send{id: fmt.Sprintf("c%d-%d", c.number, c.sends), method: http.MethodGet, route: route,
		idempotent: idempotent, patience: patience, instance: c.name, sent: c.fleet.now()}
	s.path = "/" + route + "/" + s.id + "?q=1"
	if !idempotent {
		s.method, s.body = http.MethodPost, strings.Repeat("b", c.random.IntN(4000))+s.id
	}
	c.ledger.sent(s)
	response, body, err := c.exchange(s)
	keep := err == nil && !response.Close
	c.ledger.change(func() {
		s.ended = c.fleet.now()
		if err != nil {
			s.err = err.Error()
			return
		}
		s.status, s.answer, s.signed = response.StatusCode, body, response.Header.Get(c.dialect.Signature) != ""
		if got := response.Header.Get(c.dialect.RequestID); got != s.id {
			s.err = "the answer is of request " + got
		}
	})
	if !keep {
		c.drop()
	}
	return s.status
}

func (c *caller) exchange(s *send) (*http.Response, string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(giveUp)); err != nil {
		return nil, "", err
	}
	header := http.Header{c.dialect.RequestID: {s.id}, c.dialect.Deadline: {strconv.FormatInt(s.patience.Milliseconds(), 10)}}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", s.method, s.path, host) // a Builder never fails
	_ = header.Write(&text)
	if s.body != "" {
		_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n", len(s.body))
	}
	text.WriteString("\r\n" + s.body)
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
