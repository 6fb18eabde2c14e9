package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// newWarmupPlacer returns a placer for a service that limits the requests of cold targets.
func newWarmupPlacer(bounds placement.WarmupBounds, perSecond float64, targets ...*catalog.Target) *placement.Placer {
	p := newPlacer(targets...)
	p.SetWarmup(bounds, map[string]catalog.Service{service: {Name: service, HealthPath: "/health", WarmupRate: perSecond}})
	return p
}

// Guards against requests of an instance without a share to a target that may be cold, and
// against targets that are not used or not asked although they are warm or may be.
func TestTargetIsColdUntilItSaysOtherwise(t *testing.T) {
	const at = 10 * time.Second
	a := newTarget("a", "near")
	answer := func(left time.Duration) func(*placement.Placer) {
		return func(p *placement.Placer) {
			p.Advised(at, a.Incarnation(), placement.Advice{}, placement.Exchange{SentAt: at, Probe: true})
			p.WarmupAnswered(at, at, a.Incarnation(), left)
		}
	}
	probed := func(result placement.ProbeResult) func(*placement.Placer) {
		return func(p *placement.Placer) { p.Probed(at, a.Incarnation(), result) }
	}
	entryAway := func(p *placement.Placer) { p.SetTargets(at, nil) }
	entryBack := func(p *placement.Placer) {
		p.SetTargets(at, map[string][]*catalog.Target{service: {a}})
	}
	advised := func(advice placement.Advice) func(*placement.Placer) {
		return func(p *placement.Placer) {
			p.Advised(at, a.Incarnation(), advice, placement.Exchange{SentAt: at})
		}
	}
	for _, c := range []struct {
		name        string
		events      []func(*placement.Placer)
		after       time.Duration
		used, asked bool
	}{
		{"nothing known", nil, 0, false, true},
		{"warm", []func(*placement.Placer){answer(0)}, 0, true, true},
		{"warm a second ago", []func(*placement.Placer){answer(0)}, time.Second, false, true},
		{"cold", []func(*placement.Placer){answer(3 * time.Second)}, 0, false, false},
		{"cold until now", []func(*placement.Placer){answer(3 * time.Second)}, 3 * time.Second, false, true},
		{"warm, then silent", []func(*placement.Placer){answer(0), probed(placement.ProbeSilent)}, 500 * time.Millisecond, false, true},
		{"warm, then silent, then answers a probe from before", []func(*placement.Placer){probed(placement.ProbeSilent),
			func(p *placement.Placer) { p.WarmupAnswered(at, at-1, a.Incarnation(), 0) }}, 500 * time.Millisecond, false, true},
		{"warm, then its entry went and came back", []func(*placement.Placer){answer(0), entryAway, entryBack}, 0, false, true},
		{"cold, then a late answer to an earlier probe", []func(*placement.Placer){answer(3 * time.Second),
			func(p *placement.Placer) { p.WarmupAnswered(at, at-1, a.Incarnation(), 0) }}, 0, false, false},
		{"warm, then its entry says that it is cold", []func(*placement.Placer){answer(0), func(p *placement.Placer) {
			cold := *a
			cold.WarmupLeft = 5 * time.Second
			p.SetTargets(at, map[string][]*catalog.Target{service: {&cold}})
		}}, 0, false, true},
		{"asks for a pause", []func(*placement.Placer){advised(placement.Advice{RetryAfter: time.Minute})}, time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newWarmupPlacer(placement.WarmupBounds{Overage: 1.5, Allowance: 8}, 5.1, a)
			p.SetShares(func(*catalog.Target, int) (bool, int) { return false, 3 })
			for _, event := range c.events {
				event(p)
			}
			now := at + c.after
			r := &placement.Request{Route: &catalog.Route{Name: "r", Objective: objective}, Service: service, Arrived: now, Deadline: now + time.Minute}
			sample, _ := p.Sample(now, r, false, false)
			is.Equal(slices.ContainsFunc(sample, func(t *catalog.Target) bool { return t.ID == a.ID }), c.asked)
			_, used := p.Choose(now, r, []placement.Report{report(a, 0, 0, 1)}, placement.RequireDeadline)
			is.Equal(used, c.used)
			p.SetWarmup(placement.WarmupBounds{}, nil) // the service sets no limit any more
			_, used = p.Choose(now, r, []placement.Report{report(a, 0, 0, 1)}, placement.RequireDeadline)
			is.Equal(used, c.name != "asks for a pause")
		})
	}
}

// Guards against owners that together exceed the bound if all of them send what they may,
// also while twice as many send because the membership changes.
func TestOwnersOfAColdTargetStayInsideTheBound(t *testing.T) {
	for _, c := range []struct{ overage, allowance, perSecond float64 }{{1.5, 8, 5.1}, {1.5, 8, 1}, {1.2, 4, 20}, {1.5, 8, 200}, {1, 6, 0.2}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			a, owners := newTarget("a", "near"), 0
			p := newWarmupPlacer(placement.WarmupBounds{Overage: c.overage, Allowance: c.allowance}, c.perSecond, a)
			p.SetShares(func(_ *catalog.Target, n int) (bool, int) { owners = n; return true, n })
			p.WarmupAnswered(0, 0, a.Incarnation(), time.Hour)
			var sends []time.Duration
			for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
				if p.HeldBackFor(now, newRequest(2)) == 0 {
					p.Sent(now, a.Incarnation())
					sends = append(sends, now)
				}
			}
			most := 0
			for i, begin := range sends {
				n := 0
				for _, at := range sends[i:] {
					if at < begin+time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			bound := c.overage*c.perSecond + c.allowance
			t.Logf("%d owners, each %d in a second at most, bound %g", owners, most, bound)
			is.True(float64(2*owners*most) <= bound)
			is.True(len(sends) > 0 || c.perSecond < 1)
		})
	}
}

// Guards against requests that leave the homes of their route when these have no room.
func TestRequestsStayInTheirHomes(t *testing.T) {
	is := is.New(t)
	home, other := newTarget("home", "near"), newTarget("other", "away")
	p := newPlacer(home, other)
	p.SetRegions(map[string]string{"near": "x", "away": "y"})
	r := newRequest(1)
	r.Route.Regions = []string{"x"}
	sample, _ := p.Sample(0, r, true, false)
	is.Equal(len(sample), 0)
	for _, predicted := range p.PredictedReports(0, r) {
		is.Equal(predicted.Target, home)
	}
	is.True(p.HasTargets(r.Route, service))
	r.Route.Regions = []string{"z"}
	is.True(!p.HasTargets(r.Route, service))
}
