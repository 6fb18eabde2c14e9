package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// A failure domain returns with all its targets cold, under the load of the whole fleet.
const (
	coldInstances, coldDomains = 170, 4
	coldStarted                = 30 // instances that start at returnAt
	coldDiffering              = 20 // instances that do not know a third of the others for a second
	coldTargets, warmTargets   = 90, 33
	coldSlots                  = 6
	coldRate                   = 5.1
	coldLoad                   = 4000.0 // requests a second, nearly what the warm targets can serve
	coldWork                   = 90 * time.Millisecond
	returnAt                   = 3 * time.Second
	coldFor                    = 5 * time.Second
	coldStep                   = 200 * time.Microsecond
)

// coldTarget is a target of the simulation.
type coldTarget struct {
	*catalog.Target
	sends   []time.Duration
	endings []time.Duration // of the requests that it runs
}

func (t *coldTarget) isCold(now time.Duration) bool {
	return t.FailureDomain == "d0" && now >= returnAt && now < returnAt+coldFor
}

// coldInstance is an instance of the simulation.
type coldInstance struct {
	*placement.Placer
	snapshot *fleet.Snapshot
	owns     map[string]bool // results of snapshot
}

func (i *coldInstance) setMembers(self fleet.Instance, members []fleet.Instance) {
	i.snapshot, i.owns = fleet.NewSnapshot(self, members), make(map[string]bool)
}

func (i *coldInstance) share(t *catalog.Target, n int) (bool, int) {
	mine, known := i.owns[t.ID]
	if !known {
		var domain int
		_, _ = fmt.Sscanf(t.FailureDomain, "d%d", &domain) // all names have this form
		mine, _ = i.snapshot.Share(xxhash.Sum64String(t.ID), domain, n)
		i.owns[t.ID] = mine
	}
	return mine, min(n, i.snapshot.Size)
}

type coldFleet struct {
	t         *testing.T
	random    *rand.Rand
	members   []fleet.Instance
	instances []*coldInstance
	targets   []*coldTarget
	route     *catalog.Route
	// endings are the requests in progress, by their end.
	endings map[time.Duration][]func()
	refused int
}

func newColdFleet(t *testing.T, seed uint64) *coldFleet {
	f := &coldFleet{t: t, random: rand.New(rand.NewPCG(seed, 2)), endings: make(map[time.Duration][]func()),
		route: &catalog.Route{Name: "r", Objective: 250 * time.Millisecond, MaxAttempts: 2}}
	for d := range coldDomains {
		n := warmTargets
		if d == 0 {
			n = coldTargets
		}
		for i := range n {
			f.targets = append(f.targets, &coldTarget{Target: &catalog.Target{
				ID: fmt.Sprintf("t%d-%d", d, i), FailureDomain: fmt.Sprint("d", d), Service: "s", Slots: coldSlots}})
		}
	}
	for i := range coldInstances {
		f.members = append(f.members, fleet.Instance{IP: address(i%coldDomains, i/coldDomains+1), Domain: i % coldDomains})
		f.instances = append(f.instances, nil)
	}
	for i := range coldInstances {
		f.start(i, 0)
		f.instances[i].setMembers(f.members[i], f.others(i, 1))
	}
	return f
}

// others returns a part of the members without instance i.
func (f *coldFleet) others(i int, part float64) (list []fleet.Instance) {
	for j, m := range f.members {
		if j != i && f.random.Float64() < part {
			list = append(list, m)
		}
	}
	return list
}

// start replaces instance i by one that has started at the time started.
func (f *coldFleet) start(i int, started time.Duration) {
	p := &coldInstance{Placer: placement.New(fmt.Sprint("d", f.members[i].Domain), rand.New(rand.NewPCG(f.random.Uint64(), 3)))}
	p.SetShares(p.share)
	p.SetSettled(func(now time.Duration) bool { return started == 0 || now >= started+2*time.Second })
	p.SetFleet(started, coldInstances, 42)
	p.SetWarmup(placement.WarmupBounds{Overage: 1.5, Allowance: 8}, map[string]catalog.Service{"s": {Name: "s", HealthPath: "/health", WarmupRate: coldRate}})
	list := make([]*catalog.Target, 0, len(f.targets))
	for _, t := range f.targets {
		list = append(list, t.Target)
	}
	p.SetTargets(started, map[string][]*catalog.Target{"s": list})
	f.instances[i] = p
}

func (f *coldFleet) probe(now time.Duration, p *coldInstance, registered *catalog.Target) (placement.Report, bool) {
	t := f.find(registered)
	if t.FailureDomain == "d0" && now < returnAt {
		p.Probed(now, t.Incarnation(), placement.ProbeSilent)
		return placement.Report{}, false
	}
	left := time.Duration(0)
	if t.isCold(now) {
		left = returnAt + coldFor - now
	}
	p.Probed(now, t.Incarnation(), placement.ProbeWell)
	p.WarmupAnswered(now, now, t.Incarnation(), left)
	running := min(coldSlots, len(t.endings))
	r := placement.Report{Target: registered, At: now, Load: placement.Load{Running: running, Waiting: len(t.endings) - running, Slots: coldSlots, Slowness: 1}}
	p.Reported(r)
	return r, true
}

func (f *coldFleet) find(registered *catalog.Target) *coldTarget {
	for _, t := range f.targets {
		if t.Target == registered {
			return t
		}
	}
	f.t.Fatalf("target %s is unknown", registered.ID)
	return nil
}

// request sends a request of a random instance; a request that finds no target tries again
// for a while.
func (f *coldFleet) request(now, arrived time.Duration, p *coldInstance) {
	r := &placement.Request{Route: f.route, Service: "s", Arrived: arrived, Deadline: arrived + time.Second}
	var reports []placement.Report
	for _, remote := range []bool{false, true} {
		sample, fresh := p.Sample(now, r, remote, false)
		reports = append(reports, fresh...)
		for _, t := range sample {
			if report, ok := f.probe(now, p, t); ok {
				reports = append(reports, report)
			}
		}
		if p.HasGoodTarget(now, r, reports) {
			break
		}
	}
	if len(reports) == 0 {
		reports = p.PredictedReports(now, r)
	}
	choice, ok := p.Choose(now, r, reports, p.Requirement(now, r))
	if !ok {
		if now-arrived > 100*time.Millisecond {
			f.refused++
			return
		}
		f.at(now+20*time.Millisecond, func() { f.request(now+20*time.Millisecond, arrived, p) })
		return
	}
	t := f.find(choice.Target)
	p.Sent(now, t.Incarnation())
	t.sends = append(t.sends, now)
	took := coldWork
	if t.isCold(now) {
		took *= 2
	}
	t.endings = append(t.endings, now+took)
	f.at(now+took, func() {
		t.endings = t.endings[1:]
		p.Ended(now+took, t.Incarnation(), now, f.route, choice, placement.Outcome{Responded: true, Latency: took})
	})
}

func (f *coldFleet) at(when time.Duration, do func()) { f.endings[when] = append(f.endings[when], do) }

// mostInASecond returns the largest number of sends in a second.
func mostInASecond(sends []time.Duration) (most int) {
	for i, begin := range sends {
		n := i
		for n < len(sends) && sends[n] < begin+time.Second {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

// Guards against cold targets that get more requests than they bear, from instances that
// have just started, do not know all others or disagree on the owners, and against cold
// targets that get none and callers that are refused meanwhile.
func TestDomainReturnsCold(t *testing.T) {
	is := is.New(t)
	f := newColdFleet(t, 1)
	end := returnAt + coldFor
	for now := time.Duration(0); now < end; now += coldStep {
		for _, do := range f.endings[now] {
			do()
		}
		delete(f.endings, now)
		switch now {
		case returnAt:
			for i := range coldStarted {
				f.start(i, now)
				f.instances[i].setMembers(f.members[i], f.others(i, 0.1))
			}
		case returnAt + 2500*time.Millisecond: // the instances that started have settled, and know the others late
			for i := range coldStarted {
				f.instances[i].setMembers(f.members[i], f.others(i, 1))
			}
		case returnAt + 3*time.Second:
			for i := range coldDiffering {
				f.instances[100+i].setMembers(f.members[100+i], f.others(100+i, 0.67))
			}
		case returnAt + 4*time.Second:
			for i := range coldDiffering {
				f.instances[100+i].setMembers(f.members[100+i], f.others(100+i, 1))
			}
		}
		if f.random.Float64() < coldLoad*coldStep.Seconds() {
			f.request(now, now, f.instances[f.random.IntN(coldInstances)])
		}
	}
	most, least, total := 0, len(f.targets), 0
	for _, target := range f.targets[:coldTargets] {
		most, least = max(most, mostInASecond(target.sends)), min(least, len(target.sends))
		total += len(target.sends)
	}
	t.Logf("most in a second %d, least in %v %d, sends to cold targets %d, refused %d", most, coldFor, least, total, f.refused)
	is.True(float64(most) <= 1.5*coldRate+8)
	is.True(least > 0)
	is.Equal(f.refused, 0)
}
