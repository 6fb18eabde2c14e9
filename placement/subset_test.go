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

// Guards against targets that few instances use because the subsets in other failure
// domains are small, also after instances and targets have left, and when a domain has lost
// its targets.
func TestTargetsAreInSeveralSubsets(t *testing.T) {
	const instances, domains, perDomain, minUsers, maxUsers = 150, 3, 80, 3, 32
	var all []*catalog.Target
	for i := range domains * perDomain {
		all = append(all, newTarget(fmt.Sprint("t", i), fmt.Sprint(i%domains)))
	}
	var emptied []*catalog.Target
	for _, t := range all {
		if t.FailureDomain != "0" {
			emptied = append(emptied, t)
		}
	}
	for name, c := range map[string]struct {
		targets   []*catalog.Target
		instances int
	}{"all": {all, instances}, "a fifth has left": {all[domains*perDomain/5:], instances * 4 / 5}, "a domain is empty": {emptied, instances}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			users := make(map[string]int)
			for seed := range uint64(c.instances) {
				p := placement.New(fmt.Sprint(seed%domains), rand.New(rand.NewPCG(seed, 1)))
				p.SetFleet(0, c.instances, 0)
				p.SetTargets(0, map[string][]*catalog.Target{service: c.targets})
				own := make(map[string]bool)
				for i := range 200 {
					sample, _ := p.Sample(0, newRequest(2), i%2 == 1, false)
					for _, t := range sample {
						own[t.ID] = true
					}
				}
				for id := range own {
					users[id]++
				}
			}
			is.Equal(len(users), len(c.targets))
			for _, n := range users {
				is.True(n >= minUsers && n <= maxUsers) // instances that use the target
			}
		})
	}
}

// Guards against a second connection to a target that runs a request of this instance, for
// a probe that another target can answer.
func TestIdleTargetsAreProbedFirst(t *testing.T) {
	is := is.New(t)
	var targets []*catalog.Target
	for i := range 6 {
		targets = append(targets, newTarget(fmt.Sprint("t", i), "near"))
	}
	p := newPlacer(targets...)
	p.Sent(0, targets[0].Incarnation())
	p.Sent(0, targets[1].Incarnation())
	for range 20 {
		sample, _ := p.Sample(0, newRequest(2), false, false)
		is.Equal(len(sample), 4)
		for _, s := range sample {
			is.True(s != targets[0] && s != targets[1])
		}
	}
}

// Guards against connections that are opened for nearly each probe, since an instance with
// few requests divides them among many targets, and against a small subset when the traffic
// rises.
func TestSubsetFollowsTheTraffic(t *testing.T) {
	is := is.New(t)
	var targets []*catalog.Target
	for i := range 60 {
		targets = append(targets, newTarget(fmt.Sprint("t", i), []string{"near", "b", "c"}[i%3]))
	}
	p := newPlacer(targets...)
	p.SetFleet(0, 20, 0) // 24 near targets at most, of which there are 20
	now := time.Second
	used := func(remote bool, perSecond, seconds int) int {
		own := make(map[string]bool)
		for range perSecond * seconds {
			now += time.Second / time.Duration(perSecond)
			sample, _ := p.Sample(now, newRequest(2), remote, false)
			for _, s := range sample {
				own[s.ID] = true
			}
		}
		return len(own)
	}
	is.True(used(false, 20, 2) >= 18) // the first requests of an instance go to all
	used(false, 1, 30)
	is.True(used(false, 1, 30) <= 18) // four probes a second
	used(false, 20, 10)
	is.Equal(used(false, 20, 10), 20)
	is.True(used(true, 1, 2) <= 6)
	is.Equal(used(true, 20, 10), 12) // four instances for each target
}
