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

// Guards against targets that are lost, kept or reordered when lists change in parts: an
// instance that has seen all changes must choose among the same targets as one that has
// seen only the last lists.
func TestChangedListsEqualNewOnes(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	const services, keys = 2, 30
	instance := func() *placement.Placer {
		p := placement.New("near", rand.New(rand.NewPCG(7, 8)))
		p.SetFleet(0, 1000, 0) // subsets of eight targets, by the instance's own order
		return p
	}
	current := make(map[int]*catalog.Target)
	changed := instance()
	for step := range 300 {
		for range 1 + random.IntN(4) {
			k := random.IntN(keys)
			if random.IntN(3) == 0 {
				delete(current, k)
				continue
			}
			current[k] = &catalog.Target{ID: fmt.Sprint("t", k), FailureDomain: "near", Slots: 4, Service: fmt.Sprint("s", random.IntN(services)),
				StartUnixMS: int64(1 + random.IntN(2))}
		}
		lists := make(map[string][]*catalog.Target)
		for k := range keys {
			if c := current[k]; c != nil {
				lists[c.Service] = append(lists[c.Service], c)
			}
		}
		now := time.Duration(step) * time.Second
		changed.SetTargets(now, lists)
		fresh := instance()
		fresh.SetTargets(now, lists)
		for name := range lists {
			is.Equal(subset(changed, now, name), subset(fresh, now, name))
			is.True(changed.HasTargets(&catalog.Route{}, name))
		}
	}
}

// subset returns the targets that an instance samples for a service.
func subset(p *placement.Placer, now time.Duration, service string) map[catalog.Target]bool {
	all := make(map[catalog.Target]bool)
	r := newRequest(2)
	r.Service = service
	for range 200 {
		sample, _ := p.Sample(now, r, false, false)
		for _, t := range sample {
			all[*t] = true
		}
	}
	return all
}

// BenchmarkSetTargets measures one changed target among 3,000.
func BenchmarkSetTargets(b *testing.B) {
	targets := make([]*catalog.Target, 3000)
	for i := range targets {
		targets[i] = newTarget(fmt.Sprint("t", i), "near")
	}
	p := newPlacer(targets...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list := append([]*catalog.Target(nil), targets...)
		list[i%len(list)] = newTarget(list[i%len(list)].ID, "near")
		p.SetTargets(0, map[string][]*catalog.Target{service: list})
		targets = list
	}
}
