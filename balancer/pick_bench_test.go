package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// newLargeBalancer returns a balancer of 560 targets with fresh load samples. A
// number of members of 0 leaves the fleet unknown.
func newLargeBalancer(members int) *balancer.Balancer {
	b := balancer.New(balancer.Options{Pool: pool(560, 4), FailureDomain: "d1", Rand: rand.New(rand.NewPCG(1, 2))})
	if members > 0 {
		b.SetFleet(0, fleet(members, 0))
	}
	for i := range 560 {
		b.Responded(time.Second, i, 20*time.Millisecond, balancer.OutcomeOK,
			balancer.Report{HasLoad: true, Load: wire.Load{InFlight: 1 + i%4, Slots: 4}})
	}
	return b
}

// Guards against memory allocations on the request path.
func TestPickAllocations(t *testing.T) {
	is := is.New(t)
	for _, members := range []int{0, 1, 20} {
		b := newLargeBalancer(members)
		allocations := testing.AllocsPerRun(100, func() {
			b.Pick(time.Second, balancer.PickOptions{Class: tables.ClassShort, Exclude: []int{1, 2}})
			b.Pick(time.Second, balancer.PickOptions{Class: tables.ClassLong})
		})
		is.True(allocations <= 2)
	}
}

func BenchmarkPick(b *testing.B) {
	for name, members := range map[string]int{"subset": 20, "fleet=unknown": 0} {
		for _, class := range []tables.Class{short, long} {
			b.Run(name+"/"+string(class), func(b *testing.B) {
				benchmarkPick(b, newLargeBalancer(members), class)
			})
		}
	}
}

// BenchmarkPickTroubled measures Pick while half of the targets fail, are slow and
// report that they are cold, which makes their costs most expensive to compute.
func BenchmarkPickTroubled(b *testing.B) {
	balancer := withDegradedTargets(newLargeBalancer(20))
	benchmarkPick(b, balancer, short)
}

// withDegradedTargets makes half of the targets fail, slow and cold.
func withDegradedTargets(b *balancer.Balancer) *balancer.Balancer {
	for i := range 280 {
		b.Responded(time.Second, i, time.Second, balancer.OutcomeError, balancer.Report{
			HasLoad: true, Load: wire.Load{InFlight: 2, Slots: 4}, State: wire.TargetCold})
	}
	return b
}

func benchmarkPick(b *testing.B, balancer *balancer.Balancer, class tables.Class) {
	b.ReportAllocs()
	now, options := time.Second, pickOptions(class)
	for b.Loop() {
		now += time.Microsecond // load samples age, as they do between requests
		balancer.Pick(min(now, 1200*time.Millisecond), options)
	}
}

func pickOptions(class tables.Class) balancer.PickOptions { return balancer.PickOptions{Class: class} }
