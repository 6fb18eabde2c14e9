package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Guards against a slot of a target that stays reserved because the request ended
// while a target was being selected for it.
func TestAbandonedSelectionReleasesTarget(t *testing.T) {
	is := is.New(t)
	target := &catalog.Target{ID: "a", FailureDomain: "z", Service: "s", Slots: 1}
	g := New(Options{FailureDomain: "z", View: func() *catalog.View { return &catalog.View{} }, Instances: func() int { return 1 },
		Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 2)), Now: func() time.Duration { return time.Second }})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { g.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	g.scheduler.setTargets(map[string][]*catalog.Target{"s": {target}})
	r := &forwarder{exchange: &exchange{gateway: g}, selected: make(chan selection, 1), selecting: true}
	r.request = placement.Request{Route: &catalog.Route{Name: "r", MaxAttempts: 1}, Service: "s", Deadline: time.Hour}
	report := placement.Report{Target: target, Load: placement.Load{Slots: 1, Slowness: 1}} // older than the sends
	choose := func() reservation {
		reserved, err := g.scheduler.choose(ctx, &r.request, []placement.Report{report}, firstSend)
		is.NoErr(err)
		return reserved
	}
	first := choose()
	is.True(first.ok)
	is.True(!choose().ok) // its only slot is reserved
	r.selected <- selection{reservation: first}
	r.abandon()
	for !choose().ok { // the slot is free once the abandoned selection has ended
		time.Sleep(time.Millisecond)
	}
}
