package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodroute/dogwoodroute/caller"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// maxBodyBytes is the maximum size of the random part of request bodies.
const maxBodyBytes = 1024

// Run sends all arrivals at their scheduled times, waits for their outcomes and
// returns the calls in order of arrival. When the context ends, it sends no more
// requests and returns only the calls that were sent.
func Run(ctx context.Context, o Options) []Call {
	o.setDefaults()
	clients := make([]*caller.Client, o.Callers)
	for n := range clients {
		clients[n] = caller.New(caller.Options{Seeds: o.Addresses, FailureDomain: o.Domains[n%len(o.Domains)]})
		defer clients[n].Close()
	}
	calls := schedule(&o)
	random := rand.New(rand.NewPCG(o.Seed, 0x10ad))
	slots := make(chan struct{}, o.MaxInFlight)
	var sending sync.WaitGroup
	defer sending.Wait() // runs before the clients are closed
	sent := 0
	for n := range calls {
		if !sleepUntil(ctx, calls[n].Scheduled) {
			break
		}
		r := request(&calls[n], &o.Streams[calls[n].Stream].Trace.Arrivals[calls[n].Arrival], random)
		slots <- struct{}{}
		sent++
		sending.Go(func() {
			defer func() { <-slots }()
			calls[n].Send(ctx, clients[n%len(clients)], r)
		})
	}
	sending.Wait()
	return calls[:sent]
}

// schedule returns the calls of all streams in order of their scheduled times.
func schedule(o *Options) []Call {
	var calls []Call
	for s, stream := range o.Streams {
		for n := range stream.Trace.Arrivals {
			a := &stream.Trace.Arrivals[n]
			call := Call{Pool: stream.Pool, RequestKind: KindOf(a), Stream: s, Arrival: n,
				Scheduled: o.Start.Add(time.Duration(a.At) * time.Microsecond)}
			call.RequestID = fmt.Sprintf("%s%s-%d", o.Prefix, stream.Pool, n)
			calls = append(calls, call)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int {
		return cmp.Or(a.Scheduled.Compare(b.Scheduled), cmp.Compare(a.Stream, b.Stream))
	})
	return calls
}

// request returns the request of an arrival, with a random body that contains the
// request identifier.
func request(c *Call, a *replay.Arrival, random *rand.Rand) *caller.Request {
	body := make([]byte, 1+random.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte('a' + random.IntN(26))
	}
	header := http.Header{}
	header.Set(headerService, strconv.FormatInt(a.Service, 10))
	header.Set(headerRetryService, strconv.FormatInt(a.RetryService, 10))
	if a.Class == tables.ClassLong {
		header.Set(standin.HeaderClass, string(tables.ClassLong))
	}
	return &caller.Request{Method: c.RequestKind.method(), Path: c.RequestKind.path(c.Pool), Header: header,
		Body: append([]byte(c.RequestID+" "), body...), Idempotent: c.RequestKind.idempotent(),
		Deadline: time.Duration(a.Deadline) * time.Microsecond}
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewRequest returns a request that is not part of a trace.
func NewRequest(pool string, k Kind, body []byte, deadline time.Duration) *caller.Request {
	return &caller.Request{Method: k.method(), Path: k.path(pool), Header: http.Header{}, Body: body,
		Idempotent: k.idempotent(), Deadline: deadline}
}
