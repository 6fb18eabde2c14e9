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

// Guards against an instance that refuses requests since all of its small subset is cold,
// while targets outside of it are warm. Few requests make the subset small.
func TestWarmTargetsOutsideOfAColdSubsetAreUsed(t *testing.T) {
	is := is.New(t)
	const instances, targets, cold = 60, 40, 30
	list := make([]*catalog.Target, targets)
	number := make(map[string]int)
	for n := range list {
		list[n] = newTarget(fmt.Sprint("t", n), "near")
		number[list[n].ID] = n
	}
	refused := 0
	for seed := range uint64(instances) {
		p := placement.New("near", rand.New(rand.NewPCG(seed, 2)))
		p.SetWarmup(placement.WarmupBounds{Overage: 1.5, Allowance: 8}, map[string]catalog.Service{service: {HealthPath: "/health", WarmupRate: 5.1}})
		p.SetShares(func(*catalog.Target, int) (bool, int) { return false, 3 }) // no owner
		p.SetTargets(0, map[string][]*catalog.Target{service: list})
		p.SetFleet(0, 100, 0)
		for second := range 24 {
			arrived := time.Duration(second) * time.Second
			served := false
			for attempt := 0; attempt < 5 && !served; attempt++ { // it waits for room meanwhile
				now := arrived + time.Duration(attempt)*20*time.Millisecond
				r := newRequest(2)
				r.Arrived, r.Deadline = arrived, arrived+4*time.Second
				sample, reports := p.Sample(now, r, false, attempt > 0)
				for _, target := range sample {
					left := time.Duration(0)
					if number[target.ID] < cold && second >= 20 {
						left = 5 * time.Second
					}
					p.WarmupAnswered(now, now, target.Incarnation(), left)
					answer := report(target, 0, 0, 1)
					answer.At = now
					p.Reported(answer)
					reports = append(reports, answer)
				}
				_, served = p.Choose(now, r, reports, p.Requirement(now, r))
			}
			if !served {
				refused++
			}
		}
	}
	is.True(refused <= instances/20) // of 24 requests of each instance
}
