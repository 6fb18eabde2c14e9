package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/node"
)

const (
	// lateCallers is the number of callers that send a request late in a stop.
	lateCallers = 3
	// lateShare is the part of the shutdown timeout after which they do: their lists of
	// instances still hold, and the instance still serves new requests.
	lateShare = 0.44
)

// lateRequests stops an instance with a long shutdown timeout. Callers that have kept their
// connections send requests that run until after the end of the stop.
func (f *fleet) lateRequests(ctx context.Context, i *instance) {
	i.changeSettings(func(s *node.Settings) { s.Bounds.ShutdownTimeout = longStopTimeout })
	backoff.Sleep(ctx, 3*time.Second) // until the process has read the settings
	var callers sync.WaitGroup
	for range lateCallers {
		c := f.newEventCaller()
		if c.sendTo(ctx, i, ordinaryRoutes[0].name) != http.StatusOK || c.conn == nil {
			continue // another event disturbs the instance
		}
		callers.Go(func() {
			defer c.closeConnection()
			backoff.Sleep(ctx, time.Duration(lateShare*float64(longStopTimeout)))
			req := c.newRequest(slowRoute.name, slowRoute.idempotent)
			req.method, req.body, req.timeout = http.MethodPost, "late", slowTimeout
			c.send(req)
		})
	}
	i.stop()
	callers.Wait()
	i.changeSettings(func(s *node.Settings) { s.Bounds.ShutdownTimeout = stopTimeout })
	f.start(i)
}
