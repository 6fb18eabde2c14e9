package gateway

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// countingMetrics counts requests that are turned away, by rank.
type countingMetrics struct {
	Metrics
	turnedAway map[int]int
}

func (countingMetrics) Shortage(string, float64) {}
func (m countingMetrics) TurnedAway(rank int)    { m.turnedAway[rank]++ }

// Guards against figures that do not pass between the placer and the fleet, urgent requests
// that are turned away for others, and a log line for each request.
func TestFleetFiguresDecideOnArrival(t *testing.T) {
	is := is.New(t)
	figure := shortage.Request(shortage.KeyOf("urgent"), 0, 100*time.Second).Plus(shortage.Request(shortage.KeyOf("other"), 2, 300*time.Second))
	figure.Started, figure.Refused, figure.Room, figure.Used = 200, 200, 50, 50
	known := []shortage.Entry{{Service: "s", Sums: figure}}
	var handedOver float64
	var logged bytes.Buffer
	metrics := countingMetrics{turnedAway: make(map[int]int)}
	s := newShortages(Options{Log: slog.New(slog.NewTextHandler(&logged, nil)), Metrics: metrics,
		Demand: func() *[]shortage.Entry { return &known },
		OnDemand: func(take func() []shortage.Entry) {
			for _, e := range take() {
				handedOver += e.Sums.SlotTime()
			}
		}}, placement.New("z", rand.New(rand.NewPCG(1, 2))))
	now := time.Duration(0)
	for range 100 {
		for _, route := range []*catalog.Route{{Name: "urgent", Objective: time.Second}, {Name: "other", Rank: 2, Objective: time.Second}} {
			now += 10 * time.Millisecond
			known = []shortage.Entry{{Service: "s", Sums: figure, At: now}}
			s.known = nil // a new figure each time
			s.offer(now, &placement.Request{Route: route, Service: "s", Arrived: now, Deadline: now + 2*time.Second})
		}
	}
	is.Equal(metrics.turnedAway[0], 0)
	is.True(metrics.turnedAway[2] > 20)
	is.True(handedOver > 40) // 200 requests of 300 ms, less those since the last time
	is.Equal(strings.Count(logged.String(), "service is short of room"), 1)
	s.update(now + 20*time.Second) // the figures have faded
	is.Equal(strings.Count(logged.String(), "no longer short of room"), 1)
	s.update(now + 22*time.Second)
	is.Equal(len(s.logged), 0) // services that are gone are not kept
}

// Guards against a request that is counted as turned away and is sent all the same, as its
// caller may return at once.
func TestTurnedAwayWithoutRetryAfter(t *testing.T) {
	is := is.New(t)
	figure := shortage.Request(shortage.KeyOf("urgent"), 0, 100*time.Second).Plus(shortage.Request(shortage.KeyOf("other"), 2, 300*time.Second))
	figure.Started, figure.Refused, figure.Room, figure.Used = 20, 380, 50, 50
	known := []shortage.Entry{{Service: "s", Sums: figure}}
	metrics := countingMetrics{turnedAway: make(map[int]int)}
	s := newShortages(Options{Log: slog.New(slog.DiscardHandler), Metrics: metrics,
		Demand: func() *[]shortage.Entry { return &known }, OnDemand: func(take func() []shortage.Entry) { take() }}, placement.New("z", rand.New(rand.NewPCG(1, 2))))
	refused := 0
	for range 100 {
		// The objective, less 300 ms of work and 6 ms for the network, can just be met.
		r := &placement.Request{Route: &catalog.Route{Name: "other", Rank: 2, Objective: time.Second}, Service: "s",
			Arrived: -694*time.Millisecond + 1, Deadline: time.Second}
		if retryAfter, turnedAway := s.offer(0, r); turnedAway {
			refused++
			is.Equal(retryAfter, time.Duration(0))
		}
	}
	is.True(refused > 0)
	is.Equal(refused, metrics.turnedAway[2])
}
