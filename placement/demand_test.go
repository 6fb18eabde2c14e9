package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// turnedAway returns how many of a hundred requests of each rank are turned away.
func turnedAway(p *placement.Placer, timeout func(i int) time.Duration, ranks ...int) []int {
	counts := make([]int, len(ranks))
	for i, rank := range ranks {
		for n := range 100 {
			r := newRequest(rank)
			r.Route = &catalog.Route{Name: string(rune('a' + rank)), Objective: objective, Rank: rank}
			r.CallerTimeout = timeout(n)
			if p.Offer(0, r) {
				counts[i]++
			}
		}
	}
	return counts
}

// shortFigure returns a figure of the fleet by which two thirds of the demand find no room.
func shortFigure() []shortage.Entry {
	s := shortage.Request(shortage.KeyOf("a"), 0, time.Second).Plus(shortage.Request(shortage.KeyOf("c"), 2, 4*time.Second))
	s.Started, s.Refused, s.Room, s.Used = 1600, 3400, 10000, 10000
	for i := range s.Routes {
		s.Routes[i].Requests, s.Routes[i].SlotTime = 1000*s.Routes[i].Requests, 1000*s.Routes[i].SlotTime
	}
	return []shortage.Entry{{Service: service, Sums: s}}
}

// Guards against a figure of the fleet that is not followed, and against one that blocks a
// service whose targets report room to this instance.
func TestFleetShortageIsFollowedUnlessTargetsHaveRoom(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "near")
	p := newPlacer(a)
	first := func(int) time.Duration { return time.Second }
	is.Equal(turnedAway(p, first, 0, 2), []int{0, 0})
	p = newPlacer(a)
	p.SetDemand(0, shortFigure())
	counts := turnedAway(p, first, 0, 2)
	is.True(counts[0] < 10 && counts[1] > 60)
	p = newPlacer(a)
	p.SetDemand(0, shortFigure())
	for range 10 {
		p.Reported(report(a, 1, 0, 1))
	}
	is.Equal(turnedAway(p, first, 0, 2), []int{0, 0})
}

// Guards against a caller that returns after a refusal and is refused as readily as one
// that has not waited.
func TestReturningCallersAreTurnedAwayLess(t *testing.T) {
	is := is.New(t)
	counts := make([]int, 2)
	for i, lacks := range []time.Duration{0, 100 * time.Millisecond} {
		p := newPlacer(newTarget("a", "near"))
		figure := shortFigure()
		figure[0].Sums.Started, figure[0].Sums.Refused = 3000, 2000
		p.SetDemand(0, figure)
		counts[i] = turnedAway(p, func(n int) time.Duration {
			if n == 0 {
				return 2 * time.Second
			}
			return 2*time.Second - lacks
		}, 2)[0]
	}
	is.True(counts[0] > counts[1]+10)
}

// Guards against one caller with a very long time-out, by which others that return no
// longer count as such.
func TestLongTimeoutDoesNotHideReturningCallers(t *testing.T) {
	is := is.New(t)
	counts := make([]int, 2)
	for i, longest := range []time.Duration{8 * objective, time.Hour} {
		p := newPlacer(newTarget("a", "near"))
		figure := shortFigure()
		figure[0].Sums.Started, figure[0].Sums.Refused = 3000, 2000
		p.SetDemand(0, figure)
		counts[i] = turnedAway(p, func(n int) time.Duration {
			if n == 0 {
				return longest
			}
			return 8*objective - 100*time.Millisecond
		}, 2)[0]
	}
	is.Equal(counts[0], counts[1])
}

// rankOneShort returns a figure of the fleet by which a fifth of the demand finds no room,
// of routes "a" of rank 0 and "b" of rank 1: b alone is turned away in part.
func rankOneShort() []shortage.Entry {
	s := shortage.Request(shortage.KeyOf("a"), 0, 1000*time.Second).Plus(shortage.Request(shortage.KeyOf("b"), 1, 1000*time.Second))
	s.Started, s.Refused, s.Room, s.Used = 1600, 400, 10000, 10000
	return []shortage.Entry{{Service: service, Sums: s}}
}

func requestOf(name string, rank int) *placement.Request {
	r := newRequest(rank)
	r.Route = &catalog.Route{Name: name, Objective: objective, Rank: rank}
	return r
}

// Guards against less urgent requests that wait and take the places of urgent ones in a
// shortage, and against an order among waiting requests without one.
func TestPlacesOfWaitingRequestsGoByRankInShortage(t *testing.T) {
	for _, c := range []struct {
		name   string
		figure []shortage.Entry
		want   bool
	}{{"room", nil, false}, {"shortage", shortFigure(), true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer(newTarget("a", "near"))
			p.SetDemand(0, c.figure)
			ordinary, urgent := requestOf("c", 2), requestOf("a", 0)
			waiting := 0
			for p.StartWaiting(0, ordinary) {
				waiting++
			}
			is.Equal(p.StartWaiting(0, urgent), c.want)
			is.True(!p.StartWaiting(0, ordinary)) // those of its own rank and before it count
			for range waiting {
				p.StopWaiting(ordinary)
			}
			is.True(p.StartWaiting(0, ordinary))
		})
	}
}

// Guards against admitted requests of a route that is turned away in part and use the slots
// above the saturation point, or the last of the retry budget, before more urgent ones.
func TestRouteTurnedAwayInPartHasNoPrecedence(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "near")
	above := func(p *placement.Placer, r *placement.Request) (chosen int) {
		for range 100 {
			if _, ok := p.Choose(0, r, []placement.Report{report(a, 3, 0, 1)}, placement.RequireObjective); ok {
				chosen++
			}
		}
		return chosen
	}
	p := newPlacer(a)
	is.True(p.MayUseWholeRetryBudget(0, requestOf("b", 1)))
	is.Equal(above(p, requestOf("b", 1)), 100)
	p = newPlacer(a)
	p.SetDemand(0, rankOneShort())
	is.True(p.MayUseWholeRetryBudget(0, requestOf("a", 0)))
	is.Equal(above(p, requestOf("a", 0)), 100)
	is.True(!p.MayUseWholeRetryBudget(0, requestOf("b", 1)))
	is.True(above(p, requestOf("b", 1)) < 10) // a few explore
}
