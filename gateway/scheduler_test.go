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
	"github.com/dogwoodroute/dogwoodroute/shortage"
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

// Guards against retries of a route that is turned away in part and spend the last of the
// retry budget, which others need.
func TestLastOfRetryBudgetInShortage(t *testing.T) {
	is := is.New(t)
	figure := shortage.Request(shortage.KeyOf("a"), 0, 100*time.Second).Plus(shortage.Request(shortage.KeyOf("b"), 1, 100*time.Second))
	figure.Started, figure.Refused, figure.Room, figure.Used = 160, 40, 50, 50
	retries := func(name string, rank int, short bool) (n int) {
		s := newScheduler(Options{FailureDomain: "z", Instances: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 2)),
			RetryBudget: RetryBudget{Ratio: 1, Window: time.Minute, NewFleet: true}, Now: func() time.Duration { return 0 }})
		if short {
			s.placer.SetDemand(0, []shortage.Entry{{Service: "s", Sums: figure}})
		}
		for range 100 {
			s.retryShare("s").Request(0)
		}
		r := &placement.Request{Route: &catalog.Route{Name: name, Rank: rank, Objective: time.Second}, Service: "s", Deadline: time.Second}
		for s.takeRetryBudget(0, r, retrying) {
			n++
		}
		return n
	}
	whole := retries("b", 1, false)
	is.Equal(retries("a", 0, true), whole)
	part := float64(retries("b", 1, true)) / float64(whole)
	is.True(part > ordinaryBudgetPart-0.03 && part < ordinaryBudgetPart+0.03)
}
