package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

const (
	// crashPrefix begins the body of a request that crashes the target that runs it.
	crashPrefix = "crash "
	// crashingPause limits the time between two sends of such a request.
	crashingPause = time.Second
	// crashDowntime limits how long a crashed target is down.
	crashDowntime = 3 * time.Second
)

// startCrashingCaller starts a caller that sends the same request, which crashes
// targets, again and again to random instances from the second phase on. The returned
// function stops it and waits for its end.
func (f *fleet) startCrashingCaller(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() {
		backoff.Sleep(ctx, f.options.Planned)
		c := f.newCaller(f.options.Callers + f.options.Instances) // after those of converge
		route := ordinaryRoutes[c.random.IntN(len(ordinaryRoutes))]
		for ctx.Err() == nil {
			status := c.sendCrashingRequest(ctx, route.name, route.idempotent)
			if route.idempotent && status != http.StatusServiceUnavailable { // as callers do, to another instance
				c.sendCrashingRequest(ctx, route.name, route.idempotent)
			}
			backoff.Sleep(ctx, randomBelow(c.random, crashingPause))
		}
	})
	return func() { cancel(); done.Wait() }
}

// sendCrashingRequest sends the request that crashes targets over a new connection from any
// address, as callers behind several gateways do. The path and the body are always the
// same, only the identifier differs. It returns the status of the response, or 0 without
// one.
func (c *caller) sendCrashingRequest(ctx context.Context, route string, idempotent bool) int {
	defer c.closeConnection()
	c.address = net.IPv4(127, 0, 0, byte(2+c.random.IntN(200)))
	if !c.dial(ctx, c.fleet.anyInstance(c.random)) {
		return 0 // the instance is down
	}
	req := c.newRequest(route, idempotent)
	req.method, req.path, req.body = http.MethodPost, "/"+route+"/crashing", crashPrefix+strconv.Itoa(c.number)
	return c.send(req)
}

// crash ends a target: its connections are reset, and after a while another
// incarnation serves its address.
func (f *fleet) crash(t *target) {
	from := f.now()
	t.proxy.setState(proxyState{resetNew: true})
	t.proxy.reset()
	t.eventLock.Lock()
	defer t.eventLock.Unlock()
	time.Sleep(crashDowntime/4 + rand.N(crashDowntime*3/4))
	f.unpublish(t)
	t.update(func(entry *catalog.Target, _ *behaviour) { entry.ID, entry.Draining = successor(entry.ID), false })
	t.proxy.setState(proxyState{})
	f.publish(t)
	f.recorder.addFaultWindow(faultWindow{name: "target crashed", from: from, to: f.now()})
}

func isCrashing(body string) bool { return strings.HasPrefix(body, crashPrefix) }
