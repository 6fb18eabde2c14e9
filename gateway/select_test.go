package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/internal/owner"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// cancelledAt is a context that ends when Done is called the nth time.
type cancelledAt struct {
	context.Context
	cancel context.CancelFunc
	n      int
}

func (c *cancelledAt) Done() <-chan struct{} {
	if c.n--; c.n == 0 {
		c.cancel()
	}
	return c.Context.Done()
}

// runScheduler returns a gateway whose scheduler runs until the test ends. Nothing listens.
func runScheduler(t *testing.T, now func() time.Duration) *Gateway {
	g := New(Options{FailureDomain: "z", View: func() *catalog.View { return &catalog.View{} }, Instances: func() int { return 1 }, Isolated: func() bool { return false },
		Log: slog.New(slog.DiscardHandler), Metrics: noMetricsAtAll{}, Random: rand.New(rand.NewPCG(1, 2)), Now: now})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { g.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return g
}

// noMetricsAtAll panics if a metric is used that the test does not expect.
type noMetricsAtAll struct{ Metrics }

// demandSeen returns the slot time that started and that was refused since the last call.
func demandSeen(t *testing.T, g *Gateway) (started, refused float64) {
	t.Helper()
	list, err := owner.Call(t.Context(), g.scheduler.loop, g.scheduler.placer.TakeDemand)
	is.New(t).NoErr(err)
	for _, e := range list {
		started, refused = started+e.Sums.Started, refused+e.Sums.Refused
	}
	return started, refused
}

// Guards against callers that leave and count as requests that found no room, and against
// requests that found none and do not count.
func TestCallerThatLeavesIsNotRefused(t *testing.T) {
	const tries = 30 // a call may be handled or not if its context ends as it is queued
	is := is.New(t)
	begin := time.Now()
	g := runScheduler(t, func() time.Duration { return time.Since(begin) })
	left, refusals := 0, 0
	for n := range 20 { // 0: the caller stays
		for range tries {
			inner, cancel := context.WithCancel(t.Context())
			ctx := &cancelledAt{Context: inner, cancel: cancel, n: n}
			now := g.options.Now()
			r := placement.Request{Route: &catalog.Route{Name: "r", Objective: 20 * time.Millisecond}, Service: "s", Arrived: now, Deadline: now + 40*time.Millisecond}
			x := &exchange{gateway: g, caller: httptest.NewRequest("GET", "/", nil)}
			s := x.selectTarget(ctx, &r, firstSend, nil)
			is.True(s.refusal != nil)
			_, refused := demandSeen(t, g)
			if inner.Err() != nil {
				left++
				is.Equal(refused, 0.0)
			} else {
				refusals++
				is.True(refused > 0)
			}
			cancel()
		}
	}
	is.True(left > tries && refusals > 0)
}
