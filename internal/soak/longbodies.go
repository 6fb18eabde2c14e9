package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// longBodySenders is the number of callers that send long bodies at the same time, and
	// longBodies the number of bodies of each.
	longBodySenders = 2
	longBodies      = 4
	// Lengths of the bodies, as parts of the memory limit of an instance.
	minLongBody, maxLongBody = 0.18, 0.24
	// bodyChunk is the length of a chunk of a long body, in bytes.
	bodyChunk = 32 << 10
)

// longBodies sends long bodies in chunks to an instance. Those that do not fit are refused;
// none may bring the process over its memory.
func (f *fleet) longBodies(ctx context.Context, i *instance, r *rand.Rand) {
	var senders sync.WaitGroup
	for range longBodySenders {
		c, length := f.newEventCaller(), int(memoryBytes*(minLongBody+(maxLongBody-minLongBody)*r.Float64()))
		senders.Go(func() {
			defer c.closeConnection()
			body := bytes.Repeat([]byte{byte('a' + c.number%26)}, length)
			for range longBodies {
				if c.conn == nil && !c.dial(ctx, i) {
					return // another event disturbs the instance
				}
				c.sendLongBody(body)
			}
		})
	}
	senders.Wait()
}

// sendLongBody sends a request with a body in chunks, and records it.
func (c *caller) sendLongBody(body []byte) {
	route := ordinaryRoutes[1]
	req := c.newRequest(route.name, route.idempotent)
	req.method, req.body = http.MethodPost, recordedBody(body)
	c.recorder.addRequest(req)
	response, text, err := c.exchangeLongBody(req, body)
	c.recordResponse(req, response, text, err)
}

func (c *caller) exchangeLongBody(req *request, body []byte) (*http.Response, string, error) {
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, "", err
	}
	var sent error
	if _, sent = io.WriteString(c.conn, c.headerText(req)+"Transfer-Encoding: chunked\r\n\r\n"); sent == nil {
		for len(body) > 0 && sent == nil {
			n := min(len(body), bodyChunk)
			_, sent = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		if sent == nil {
			_, sent = io.WriteString(c.conn, "0\r\n\r\n")
		}
	}
	response, text, err := c.readResponse(req) // may have been sent before the end of the body
	if err != nil && sent != nil {
		return nil, "", sent
	}
	return response, text, err
}
