package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

const (
	service   = "s"
	objective = time.Second // gives an initial mean work of 300 ms
)

func newPlacer(targets ...*catalog.Target) *placement.Placer {
	p := placement.New("near", rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(0, map[string][]*catalog.Target{service: targets})
	return p
}

func newTarget(id, domain string) *catalog.Target {
	return &catalog.Target{ID: id, FailureDomain: domain, Service: service, Slots: 4}
}

func newRequest(rank int) *placement.Request {
	route := &catalog.Route{Name: "r", Objective: objective, Rank: rank, MaxAttempts: 2}
	return &placement.Request{Route: route, Service: service, Deadline: 4 * time.Second}
}

func report(t *catalog.Target, running, waiting int, slowness float64) placement.Report {
	return placement.Report{Target: t, Load: placement.Load{Running: running, Waiting: waiting, Slots: 4, Slowness: slowness}}
}

// Guards against a choice by only one of the load figures.
func TestChoiceTakesTheEarliestCompletion(t *testing.T) {
	a, b, far := newTarget("a", "near"), newTarget("b", "near"), newTarget("far", "away")
	for _, c := range []struct {
		name    string
		reports []placement.Report
		want    string
	}{
		{"idle before busy", []placement.Report{report(a, 4, 0, 1), report(b, 0, 0, 1)}, "b"},
		{"fast and busy before slow and idle", []placement.Report{report(a, 0, 0, 5), report(b, 2, 0, 1)}, "b"},
		{"below saturation before above", []placement.Report{report(a, 3, 0, 1), report(b, 2, 0, 1.5)}, "b"},
		{"near before far when equal", []placement.Report{report(far, 0, 0, 1), report(a, 0, 0, 1)}, "a"},
		{"idle and far before slow and near", []placement.Report{report(a, 0, 0, 3), report(far, 0, 0, 1)}, "far"},
	} {
		is := is.New(t)
		got, ok := newPlacer(a, b, far).Choose(0, newRequest(1), c.reports, placement.RequireDeadline)
		is.True(ok)                     // c.name
		is.Equal(got.Target.ID, c.want) // c.name
	}
}

// Guards against ordinary or late requests that push a target above its saturation
// point, and against urgent ones that wait although a slot is free.
func TestRequirements(t *testing.T) {
	a := newTarget("a", "near")
	for _, c := range []struct {
		name        string
		rank        int
		report      placement.Report
		requirement placement.Requirement
		want        bool
	}{
		{"below saturation", 2, report(a, 2, 0, 1), placement.RequireObjective, true},
		{"above saturation", 2, report(a, 3, 0, 1), placement.RequireObjective, false},
		{"above saturation, urgent", 1, report(a, 3, 0, 1), placement.RequireObjective, true},
		{"full, urgent", 1, report(a, 4, 0, 1), placement.RequireObjective, false},
		{"too slow for the objective", 2, report(a, 0, 0, 5), placement.RequireObjective, false},
		{"too slow, but before the deadline", 2, report(a, 0, 0, 5), placement.RequireDeadline, true},
		{"late, below saturation", 2, report(a, 2, 0, 1), placement.RequireDeadline, true},
		{"late, above saturation", 2, report(a, 3, 0, 1), placement.RequireDeadline, false},
		{"late and urgent, below saturation", 1, report(a, 2, 0, 1), placement.RequireDeadline, true},
		{"late and urgent, above saturation", 1, report(a, 3, 0, 1), placement.RequireDeadline, false},
		{"late and urgent, full", 1, report(a, 4, 0, 1), placement.RequireDeadline, false},
		{"after the deadline", 2, report(a, 0, 0, 20), placement.RequireDeadline, false},
		{"hedge to an idle one", 2, report(a, 0, 0, 1), placement.RequireIdle, true},
		{"no hedge to a slow one", 2, report(a, 0, 0, 2), placement.RequireIdle, false},
	} {
		is := is.New(t)
		_, ok := newPlacer(a).Choose(0, newRequest(c.rank), []placement.Report{c.report}, c.requirement)
		is.Equal(ok, c.want) // c.name
	}
}

// Guards against two requests that are sent to one free slot because of the same
// report.
func TestSendsSinceTheReportCount(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "near")
	p := newPlacer(a)
	r := report(a, 2, 0, 1)
	_, ok := p.Choose(1, newRequest(2), []placement.Report{r}, placement.RequireObjective)
	is.True(ok)
	p.Sent(1, a.Incarnation())
	_, ok = p.Choose(2, newRequest(2), []placement.Report{r}, placement.RequireObjective)
	is.True(!ok)
}

// Guards against choosing targets that fail although they report low load, and
// against excluding them for good.
func TestFailingTargetIsAvoidedForAWhile(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "near"), newTarget("b", "near")
	p := newPlacer(a, b)
	r := newRequest(1)
	for range 3 {
		p.Sent(0, a.Incarnation())
		p.Ended(0, a.Incarnation(), 0, r.Route, placement.Choice{Slowdown: 1}, placement.Outcome{Failed: true})
	}
	choose := func(now time.Duration) string {
		r.Arrived, r.Deadline = now, now+10*time.Second
		got, ok := p.Choose(now, r, []placement.Report{report(a, 0, 0, 1), report(b, 3, 0, 1)}, placement.RequireObjective)
		is.True(ok)
		return got.Target.ID
	}
	is.Equal(choose(0), "b")
	is.Equal(choose(time.Minute), "a")
}

// Guards against probing unresponsive targets while others respond, and against
// probing no target when none responds.
func TestUnresponsiveTargetsAreProbedLast(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "near"), newTarget("b", "near")
	p := newPlacer(a, b)
	p.Probed(0, a.Incarnation(), placement.ProbeSilent)
	sample, _ := p.Sample(0, newRequest(2), false, false)
	is.Equal(len(sample), 1)
	is.Equal(sample[0].ID, "b")
	p.Probed(0, b.Incarnation(), placement.ProbeSilent)
	sample, _ = p.Sample(0, newRequest(2), false, false)
	is.Equal(len(sample), 2)
	sample, _ = p.Sample(time.Minute, newRequest(2), false, false)
	is.Equal(len(sample), 2)
}

// Guards against sending a request to the same target twice.
func TestTriedTargetsAreLeftOut(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "near"), newTarget("b", "near")
	r := newRequest(2)
	r.Tried = []catalog.Incarnation{a.Incarnation()}
	sample, _ := newPlacer(a, b).Sample(0, r, false, false)
	is.Equal(len(sample), 1)
	is.Equal(sample[0].ID, "b")
}

// Guards against connections from every instance to every target of a large
// service, and against targets that no instance uses.
func TestInstancesUseSubsetsOfLargeServices(t *testing.T) {
	is := is.New(t)
	targets := make([]*catalog.Target, 100)
	for i := range targets {
		targets[i] = newTarget(fmt.Sprint("t", i), "near")
	}
	used := make(map[string]bool)
	const instances, want = 40, 20 // each target is in the subsets of eight
	for seed := range uint64(instances) {
		p := placement.New("near", rand.New(rand.NewPCG(seed, 1)))
		p.SetFleet(0, instances, 0)
		p.SetTargets(0, map[string][]*catalog.Target{service: targets})
		own := make(map[string]bool)
		for range 500 {
			sample, _ := p.Sample(0, newRequest(2), false, false)
			for _, t := range sample {
				own[t.ID], used[t.ID] = true, true
			}
		}
		is.Equal(len(own), want)
	}
	is.Equal(len(used), len(targets))
}

// Guards against exceeding the probe limit, summed over the instances, and
// against an instance that cannot choose a target when it may not probe.
func TestProbesStayWithinTheLimit(t *testing.T) {
	const (
		instances = 10
		perTarget = 6.0
		seconds   = 60
	)
	is := is.New(t)
	targets := make([]*catalog.Target, 8)
	for i := range targets {
		targets[i] = newTarget(fmt.Sprint("t", i), "near")
	}
	sent := 0
	for range instances {
		p := newPlacer(targets...)
		p.SetFleet(0, instances, perTarget)
		for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
			sample, _ := p.Sample(now, newRequest(2), false, false)
			sent += len(sample)
		}
		is.True(len(p.PredictedReports(seconds*time.Second, newRequest(2))) > 0)
	}
	const burst = 2 // seconds
	is.True(float64(sent) <= perTarget*float64(len(targets))*(seconds+burst))
}

// Guards against health answers that are believed without a look at the outcomes of
// requests: a target that calls itself ill but serves must not be left idle while the
// others are full, and one that calls itself well but fails must be avoided. Both must
// have a way back.
func TestHealthAnswersAreCheckedByOutcomes(t *testing.T) {
	is := is.New(t)
	ill, other := newTarget("ill", "near"), newTarget("other", "near")
	p := newPlacer(ill, other)
	r := newRequest(2)
	choose := func(now time.Duration, otherRunning int) string {
		r.Arrived, r.Deadline = now, now+10*time.Second
		reports := []placement.Report{report(ill, 0, 0, 1), report(other, otherRunning, 0, 1.2)}
		for i := range reports {
			reports[i].At = now
		}
		got, ok := p.Choose(now, r, reports, placement.RequireDeadline)
		is.True(ok)
		return got.Target.ID
	}
	end := func(now time.Duration, outcome placement.Outcome) {
		p.Sent(now, ill.Incarnation())
		p.Ended(now, ill.Incarnation(), now, r.Route, placement.Choice{Slowdown: 1}, outcome)
	}
	p.Probed(0, ill.Incarnation(), placement.ProbeIll)
	is.Equal(choose(0, 2), "other") // avoided while there is another
	is.Equal(choose(0, 4), "ill")   // but used when the other is full
	end(0, placement.Outcome{Responded: true, Latency: time.Millisecond})
	is.Equal(choose(0, 2), "ill") // it serves, so its answers were false
	end(0, placement.Outcome{Failed: true})
	is.Equal(choose(0, 2), "other") // it is ill after all
	p.Probed(time.Minute, ill.Incarnation(), placement.ProbeWell)
	is.Equal(choose(time.Minute, 2), "ill") // and has recovered
	for range 3 {
		end(time.Minute, placement.Outcome{Failed: true})
		p.Probed(time.Minute, ill.Incarnation(), placement.ProbeWell)
	}
	is.Equal(choose(time.Minute, 2), "other") // calls itself well, but fails
}

// Guards against subsets that leave targets of a large fleet without load, or load
// some much more than others: at 300 instances and 50 targets in each of six failure
// domains every target must be local to some instances, and none to many more than
// the mean.
func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	const (
		instances, domains, perDomain = 300, 6, 50
		minUsers, maxUsers            = 1, 20 // the mean is eight
	)
	is := is.New(t)
	var targets []*catalog.Target
	for i := range domains * perDomain {
		targets = append(targets, newTarget(fmt.Sprint("t", i), fmt.Sprint(i%domains)))
	}
	users := make(map[string]int)
	count := func(removed int) {
		clear(users)
		for seed := range uint64(instances - removed) {
			p := placement.New(fmt.Sprint(seed%domains), rand.New(rand.NewPCG(seed, 1)))
			p.SetFleet(0, instances-removed, 0)
			p.SetTargets(0, map[string][]*catalog.Target{service: targets[removed:]})
			own := make(map[string]bool)
			for range 200 {
				sample, _ := p.Sample(0, newRequest(2), false, false)
				for _, t := range sample {
					own[t.ID] = true
				}
			}
			for id := range own {
				users[id]++
			}
		}
	}
	for _, removed := range []int{0, 60} { // also after a fifth of the fleet has left
		count(removed)
		is.Equal(len(users), len(targets)-removed)
		for _, n := range users {
			is.True(n >= minUsers && n <= maxUsers) // instances that use the target
		}
	}
}

// Guards against sends that are not counted since no report of the target is known:
// without probes an instance would fill one target beyond its slots.
func TestSendsCountWithoutAReport(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "near")
	p := newPlacer(a)
	r := newRequest(2)
	const now = time.Second
	for range 3 { // of four slots, the saturation point
		_, ok := p.Choose(now, r, p.PredictedReports(now, r), placement.RequireDeadline)
		is.True(ok)
		p.Sent(now, a.Incarnation())
	}
	_, ok := p.Choose(now, r, p.PredictedReports(now, r), placement.RequireDeadline)
	is.True(!ok)
}
