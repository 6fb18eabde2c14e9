package catalog_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// Guards against lists that differ from the entries after a sequence of changes, and
// against a change of one service that copies the list of another.
func TestListsFollowTheEntries(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	b := catalog.NewBuilder()
	model := make(map[string]*catalog.Target)
	evacuated := false
	for step := range 500 {
		for range 1 + random.IntN(3) {
			key := fmt.Sprint("k", random.IntN(40))
			switch random.IntN(12) {
			case 0:
				evacuated = !evacuated
				if evacuated {
					b.SetEvacuated("e", "a")
				} else {
					b.Remove(0, "e", false)
				}
			case 1, 2, 3:
				b.Remove(0, key, false)
				delete(model, key)
			default:
				model[key] = &catalog.Target{ID: key, Service: fmt.Sprint("s", random.IntN(3)), FailureDomain: []string{"a", "b"}[random.IntN(2)],
					Draining: random.IntN(5) == 0}
				is.True(b.SetTarget(key, model[key]))
			}
		}
		want := make(map[string][]*catalog.Target)
		for _, target := range model {
			if !target.Draining && !(evacuated && target.FailureDomain == "a") {
				want[target.Service] = append(want[target.Service], target)
			}
		}
		got := b.Build(0, records.Position{}).Targets
		is.Equal(len(got), len(want)) // services
		for service, list := range want {
			slices.SortFunc(list, func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
			if !slices.Equal(got[service], list) {
				t.Fatalf("step %d, service %s: %d targets, want %d", step, service, len(got[service]), len(list))
			}
		}
	}
	b.SetTarget("x", &catalog.Target{ID: "x", Service: "s0"})
	b.SetTarget("y", &catalog.Target{ID: "y", Service: "s1"})
	before := b.Build(0, records.Position{}).Targets
	b.SetTarget("z", &catalog.Target{ID: "z", Service: "s0"})
	after := b.Build(0, records.Position{}).Targets
	is.True(&before["s1"][0] == &after["s1"][0])
}
