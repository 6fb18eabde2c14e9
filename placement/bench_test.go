package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// benchTargets is the size of a large service in a large deployment.
const benchTargets = 230

// BenchmarkDecision measures all decisions for one request: which targets to
// probe, whether a report is good enough, which target to choose, and the update
// of the estimates at the end. It sends no probes.
func BenchmarkDecision(b *testing.B) {
	domains := []string{"near", "b", "c", "d"}
	targets := make([]*catalog.Target, benchTargets)
	for i := range targets {
		targets[i] = newTarget(fmt.Sprint("t", i), domains[i%len(domains)])
	}
	p := newPlacer(targets...)
	r := newRequest(1)
	reports := make([]placement.Report, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		reports = reports[:0]
		sample, _ := p.Sample(0, r, false, false)
		for i, t := range sample {
			reports = append(reports, report(t, i%4, 0, 1))
		}
		_ = p.HasGoodTarget(0, r, reports)
		choice, ok := p.Choose(0, r, reports, p.Requirement(0, r))
		if !ok {
			b.Fatal("no target was chosen")
		}
		p.Sent(0, choice.Target.Incarnation())
		p.Ended(0, choice.Target.Incarnation(), 0, r.Route, choice, placement.Outcome{Responded: true, Latency: 100 * time.Millisecond})
	}
}

// BenchmarkReference measures a minimal choice by load, the lowest of four random
// entries, as a reference for comparing machines.
func BenchmarkReference(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	loads := make([]int, benchTargets)
	for i := range loads {
		loads[i] = random.IntN(8)
	}
	best := 0
	for b.Loop() {
		best = random.IntN(len(loads))
		for range 3 {
			if other := random.IntN(len(loads)); loads[other] < loads[best] {
				best = other
			}
		}
	}
	_ = best
}
