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
	// requestTimeout is the deadline that callers give; giveUp is when they close the
	// connection of a request without an answer.
	requestTimeout = 2 * time.Second
	responseTimeout   = 3 * time.Second
	// maxThinkTime bounds the time between two requests of a caller.
	maxThinkTime = 40 * time.Millisecond
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
	recorder  *recorder
	dialect gateway.Dialect
	client  *http.Client // asks where to connect
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	instanceID    string // the instance of the connection
	requestCount   int
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConnection()
	for ctx.Err() == nil {
		backoff.Sleep(ctx, randomBelow(c.random, maxThinkTime))
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		route := routes[c.random.IntN(len(routes))]
		c.sendRequest(route.name, route.idempotent)
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect asks any instance where to connect and connects there.
func (c *caller) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	resolver := c.fleet.instances[c.random.IntN(len(c.fleet.instances))]
	addresses, err := platformtest.Resolve(ctx, c.client, resolver.settings.Addresses.Resolve, host, domains[c.number%len(domains)])
	if err != nil || len(addresses) == 0 {
		return false // that instance is down; the caller asks another one
	}
	instance := c.fleet.instanceAt(addresses[c.random.IntN(min(2, len(addresses)))])
	return instance != nil && c.dial(ctx, instance)
}

func (c *caller) dial(ctx context.Context, instance *instance) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", instance.callerProxy.address())
	if err != nil {
		return false
	}
	c.conn, c.reader, c.instanceID = conn, bufio.NewReader(conn), instance.settings.ID
	return true
}

// sendTo sends one request on a route to an instance and returns its status, 0
// without an answer.
func (c *caller) sendTo(ctx context.Context, instance *instance, route string) int {
	backoff.Sleep(ctx, randomBelow(c.random, maxThinkTime))
	if c.conn == nil && !c.dial(ctx, instance) {
		return 0
	}
	return c.sendRequest(route, route != routes[1].name)
}

// sendRequest sends one request, records what comes back and returns the status.
func (c *caller) sendRequest(route string, idempotent bool) int {
	c.requestCount++
	s := &request{id: fmt.Sprintf("c%d-%d", c.number, c.requestCount), method: http.MethodGet, route: route,
		idempotent: idempotent, timeout: requestTimeout, instance: c.instanceID, sentAt: c.fleet.now()}
	s.path = "/" + route + "/" + s.id + "?q=1"
	if !idempotent {
		s.method, s.body = http.MethodPost, strings.Repeat("b", c.random.IntN(4000))+s.id
	}
	c.recorder.addRequest(s)
	response, body, err := c.exchange(s)
	keep := err == nil && !response.Close
	c.recorder.update(func() {
		s.endedAt = c.fleet.now()
		if err != nil {
			s.failure = err.Error()
			return
		}
		s.status, s.responseBody, s.signed = response.StatusCode, body, response.Header.Get(c.dialect.Signature) != ""
		if got := response.Header.Get(c.dialect.RequestID); got != s.id {
			s.failure = "the answer is of request " + got
		}
	})
	if !keep {
		c.closeConnection()
	}
	return s.status
}

func (c *caller) exchange(s *request) (*http.Response, string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, "", err
	}
	header := http.Header{c.dialect.RequestID: {s.id}, c.dialect.Deadline: {strconv.FormatInt(s.timeout.Milliseconds(), 10)}}
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
