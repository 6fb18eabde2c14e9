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
	// requestTimeout is the deadline that callers send with a request;
	// responseTimeout is the time after which they close the connection if the
	// response is not complete.
	requestTimeout  = 2 * time.Second
	responseTimeout = 3 * time.Second
	// maxThinkTime limits the pause between two requests of a caller.
	maxThinkTime = 40 * time.Millisecond
	// dialTimeout limits a resolve call together with opening the connection.
	dialTimeout = 500 * time.Millisecond
)

// routes lists the routes of each configuration. Callers use ordinaryRoutes; slowRoute is
// for requests that run long. Reconfigurations change ordinaryRoutes, and add and remove
// extraRoute.
var (
	routes         = []routeOptions{{"read", true, requestTimeout}, {"write", false, requestTimeout}, slowRoute}
	ordinaryRoutes = routes[:2]
	slowRoute      = routeOptions{"slow", false, slowTimeout}
)

type routeOptions struct {
	name       string
	idempotent bool
	timeout    time.Duration
}

// caller sends requests one after the other over one persistent connection, as
// production callers do. It is not safe for concurrent use.
type caller struct {
	number       int
	fleet        *fleet
	recorder     *recorder
	dialect      gateway.Dialect
	client       *http.Client // for resolve calls
	random       *rand.Rand
	conn         net.Conn
	reader       *bufio.Reader
	instanceID   string // of the instance that conn leads to
	requestCount int
	// address is the local address of new connections, nil for the usual one.
	address net.IP
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConnection()
	for ctx.Err() == nil {
		backoff.Sleep(ctx, randomBelow(c.random, maxThinkTime))
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		route := ordinaryRoutes[c.random.IntN(len(ordinaryRoutes))]
		c.sendRequest(route.name, route.idempotent)
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect sends a resolve call to a random instance, connects to one of the
// returned addresses and reports whether that succeeded.
func (c *caller) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	resolver := c.fleet.instances[c.random.IntN(len(c.fleet.instances))]
	addresses, err := platformtest.Resolve(ctx, c.client, resolver.settings.Addresses.Resolve, host, domains[c.number%len(domains)])
	if err != nil || len(addresses) == 0 {
		return false // the instance may be down; the next call picks another one
	}
	instance := c.fleet.instanceAt(addresses[c.random.IntN(min(2, len(addresses)))])
	return instance != nil && c.dial(ctx, instance)
}

func (c *caller) dial(ctx context.Context, instance *instance) bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: c.address}}
	conn, err := dialer.DialContext(ctx, "tcp", instance.callerProxy.address())
	if err != nil {
		return false
	}
	c.conn, c.reader, c.instanceID = conn, bufio.NewReader(conn), instance.settings.ID
	return true
}

// sendTo sends one request on a route to an instance and returns the status of
// the response, or 0 without one. An open connection is used as it is.
func (c *caller) sendTo(ctx context.Context, instance *instance, route string) int {
	backoff.Sleep(ctx, randomBelow(c.random, maxThinkTime))
	if c.conn == nil && !c.dial(ctx, instance) {
		return 0
	}
	return c.sendRequest(route, route != routes[1].name)
}

// sendRequest sends one request over the open connection, records its outcome
// and returns the status of the response, or 0 without a complete one.
func (c *caller) sendRequest(route string, idempotent bool) int {
	req := c.newRequest(route, idempotent)
	if !idempotent {
		req.method, req.body = http.MethodPost, strings.Repeat("b", c.random.IntN(4000))+req.id
	}
	return c.send(req)
}

// newRequest returns a request with a new identifier, without a body.
func (c *caller) newRequest(route string, idempotent bool) *request {
	c.requestCount++
	id := fmt.Sprintf("c%d-%d", c.number, c.requestCount)
	return &request{id: id, method: http.MethodGet, path: "/" + route + "/" + id + "?q=1", route: route,
		idempotent: idempotent, timeout: requestTimeout, instance: c.instanceID, sentAt: c.fleet.now()}
}

// send sends a request as sendRequest does.
func (c *caller) send(req *request) int {
	c.recorder.addRequest(req)
	response, body, err := c.exchange(req)
	c.recordResponse(req, response, body, err)
	return req.status
}

// recordResponse records the outcome of a request, and closes the connection unless it may
// be used again.
func (c *caller) recordResponse(req *request, response *http.Response, body string, err error) {
	keep := err == nil && !response.Close
	c.recorder.update(func() {
		req.endedAt = c.fleet.now()
		if err != nil {
			req.failure = err.Error()
			return
		}
		req.status, req.responseBody, req.signer = response.StatusCode, body, response.Header.Get(c.dialect.Signature)
		req.signed = req.signer != ""
		if got := response.Header.Get(c.dialect.RequestID); got != req.id {
			req.failure = "the answer is of request " + got
		}
	})
	if !keep {
		c.closeConnection()
	}
}

func (c *caller) exchange(req *request) (*http.Response, string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(max(responseTimeout, req.timeout+time.Second))); err != nil {
		return nil, "", err
	}
	text := c.headerText(req)
	if req.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(req.body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+req.body); err != nil {
		return nil, "", err
	}
	return c.readResponse(req)
}

// headerText returns the request line and the header of a request, without the length of
// its body.
func (c *caller) headerText(req *request) string {
	header := http.Header{c.dialect.RequestID: {req.id}, c.dialect.Deadline: {strconv.FormatInt(req.timeout.Milliseconds(), 10)}}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.method, req.path, host) // writing to a strings.Builder never fails
	_ = header.Write(&text)
	return text.String()
}

func (c *caller) readResponse(req *request) (*http.Response, string, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: req.method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
