package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// oneRequest returns a function that passes one request, from arrival to end,
// through a scheduler with 560 targets.
func oneRequest() func() {
	s := dispatch.NewScheduler(dispatch.Options{Pool: pool(560, 5), Rand: rand.New(rand.NewPCG(1, 2))})
	id, now := dispatch.RequestID(0), time.Duration(0)
	return func() {
		id++
		now += time.Microsecond
		actions := s.Arrive(now, short(id))
		attempt := actions[0].Attempt
		s.Responded(now, attempt, dispatch.Response{Report: balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 1, Slots: 5}}})
		s.Ended(now, attempt, dispatch.End{Outcome: balancer.OutcomeOK})
	}
}

// Guards against memory allocations on the request path beyond the two that each
// request needs.
func TestOneRequestAllocatesAtMostTwice(t *testing.T) {
	is := is.New(t)
	allocations := testing.AllocsPerRun(1000, oneRequest())
	t.Logf("%v allocations", allocations)
	is.True(allocations <= 2)
}

// decisionBatch is the number of decisions measured before their requests are
// ended with the timer stopped.
const decisionBatch = 64

// BenchmarkDecision measures route matching, admission and target selection of
// one request with 560 targets and 50 routes, without the handling of its response.
func BenchmarkDecision(b *testing.B) {
	d := &tables.Document{}
	for n := range 50 {
		d.Routes = append(d.Routes, tables.Route{Name: fmt.Sprint(n), Match: tables.Match{PathPrefix: fmt.Sprintf("/service-%d/", n)}})
	}
	matcher := routing.NewMatcher(d)
	s := dispatch.NewScheduler(dispatch.Options{Pool: pool(560, 5), Rand: rand.New(rand.NewPCG(1, 2)),
		Fleet: dispatch.Fleet{Instances: 1, Members: []string{"a"}, Self: "a"}})
	id, now := dispatch.RequestID(0), time.Duration(0)
	attempts := make([]dispatch.AttemptID, 0, decisionBatch)
	b.ReportAllocs()
	for n := 0; n < b.N; n++ {
		id++
		now += time.Microsecond
		if matcher.Match("GET", "instance.example:8080", "/service-17/items/5") == nil {
			b.Fatal("no route")
		}
		attempts = append(attempts, s.Arrive(now, short(id))[0].Attempt)
		if len(attempts) < decisionBatch {
			continue
		}
		b.StopTimer()
		for _, attempt := range attempts {
			s.Responded(now, attempt, dispatch.Response{Report: balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 1, Slots: 5}}})
			s.Ended(now, attempt, dispatch.End{Outcome: balancer.OutcomeOK})
		}
		attempts = attempts[:0]
		s.Tick(now)
		b.StartTimer()
	}
}

// BenchmarkRequest measures the three events of one request: arrival, response and
// end.
func BenchmarkRequest(b *testing.B) {
	request := oneRequest()
	b.ReportAllocs()
	for b.Loop() {
		request()
	}
}
