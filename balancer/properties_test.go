package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Guards against probes beyond the budget: at the start, after a pause, when the
// fleet grows, and when a partition hides instances.
func TestProbeBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newSingleInstance(4)
		b.SetFleet(0, balancer.Fleet{})
		last, lastIdle := make(map[int]time.Duration), make(map[int]time.Duration) // on the budget's clock
		var now, earning time.Duration
		instances, largest, arrived, probes, total := 0, 0, 0, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			step := time.Duration(rapid.SampledFrom([]int{0, 1, 5, 50, 250, 251, 5000}).Draw(t, "ms")) * time.Millisecond
			if now += step; step <= 250*time.Millisecond {
				earning += step
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				instances = rapid.IntRange(0, 40).Draw(t, "instances")
				largest = max(largest, instances)
				b.SetFleet(now, balancer.Fleet{Instances: instances})
			case 1:
				b.Resume(now)
				arrived, probes = 0, 0 // earlier tokens are discarded
			case 2, 3, 4, 5:
				b.Arrived(now)
				if instances > 0 {
					arrived++
				}
			default:
				before := b.ProbeStats()
				sent := b.Probes(now, nil)
				idleProbes := int(b.ProbeStats().Idle - before.Idle) // idle probes come last
				for k, c := range sent {
					total++
					if k < len(sent)-idleProbes {
						probes++
					} else {
						if least := time.Duration(2*largest) * time.Second / tables.DefaultIdleProbesPerSecond; lastIdle[c.Index] > 0 && earning-lastIdle[c.Index] < least {
							t.Fatalf("idle probe only %v after the previous one with %d instances", earning-lastIdle[c.Index], largest)
						}
						lastIdle[c.Index] = earning
					}
					least := time.Duration(2*largest) * time.Second / 100
					if instances == 0 || earning-last[c.Index] < least {
						t.Fatalf("probe only %v after the previous one with %d instances", earning-last[c.Index], largest)
					}
					last[c.Index] = earning
				}
			}
			if 2*probes > arrived || b.ProbeStats().Granted != uint64(total) {
				t.Fatalf("%d probes for %d requests", probes, arrived)
			}
		}
	})
}

// Guards against a target of a pool without requests that no instance of the fleet
// probes within 2 s, or within 3 s of its last report, so that its draining would
// go unnoticed, and against idle probes beyond their limit.
func TestIdleProbesCoverTheFleet(t *testing.T) {
	is := is.New(t)
	const instances, targets, seconds = 18, 12, 60
	var balancers []*balancer.Balancer
	for n := range instances {
		b := newSingleInstance(targets)
		b.SetFleet(0, fleet(instances, n))
		balancers = append(balancers, b)
	}
	last, count := make([]time.Duration, targets), 0
	var first, gap time.Duration
	for now := time.Duration(0); now < seconds*time.Second; now += 5 * time.Millisecond {
		for _, b := range balancers {
			for _, c := range b.Probes(now, nil) {
				if last[c.Index] == 0 {
					first = max(first, now) // the last reports arrived at 0
				} else {
					gap = max(gap, now-last[c.Index])
				}
				last[c.Index] = now
				count++
			}
		}
	}
	is.True(first > 0 && first < 3*time.Second)
	is.True(gap < 2*time.Second)
	is.True(count <= tables.DefaultIdleProbesPerSecond*targets*seconds)
}

// Guards against draining targets that go unnoticed in a pool with little traffic,
// and against a share of the probe budget that grows as soon as instances are no
// longer visible.
func TestProbesReachEveryTarget(t *testing.T) {
	is := is.New(t)
	b := newSingleInstance(10)
	b.SetFleet(0, fleet(20, 0))
	count := func(from, length, arrivals time.Duration) (n [10]int) {
		for now := from; now < from+length; now += 5 * time.Millisecond {
			if now%arrivals == 0 {
				b.Arrived(now)
			}
			for _, c := range b.Probes(now, nil) {
				n[c.Index]++
			}
		}
		return n
	}
	for _, n := range count(0, 5*time.Second, 25*time.Millisecond) {
		is.True(n >= 4 && n <= 13) // at least about 1 and at most 2.5 per second
	}
	b.SetFleet(5*time.Second, fleet(1, 0))
	for _, n := range count(5*time.Second, 5*time.Second, 5*time.Millisecond) {
		is.True(n <= 13)
	}
	count(10*time.Second, 10*time.Minute, 5*time.Millisecond)
	for _, n := range count(15*time.Minute, 5*time.Second, 5*time.Millisecond) {
		is.True(n > 25) // the larger number of instances no longer counts
	}
}

// Guards against ejection of more than half of a pool, and against requests to
// draining, ejected or excluded targets.
func TestEjectionFloorAndPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "targets")
		b := newSingleInstance(n)
		var now time.Duration
		addresses := pool(n, 4).Targets
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			index := rapid.IntRange(0, n-1).Draw(t, "index")
			switch outcome := balancer.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome")); outcome {
			case balancer.OutcomeOK, balancer.OutcomeError, balancer.OutcomeShed:
				b.Responded(now, index, time.Millisecond, outcome, report(int(now)%6))
			case 7:
				b.SetDraining(now, []string{addresses[index].Address})
			default:
				b.Ended(now, index, short, outcome)
			}
			serving, draining := 0, 0
			for _, s := range b.Status(now) {
				if s.DrainListed {
					draining++
				} else if s.EjectedFor == 0 {
					serving++
				}
			}
			if n-draining-serving > (n-draining)/2 || serving != b.Serving() {
				t.Fatalf("%d of %d targets serving, %d draining", serving, n, draining)
			}
			c, ok := b.Pick(now, balancer.PickOptions{Class: short, Exclude: []int{index}})
			if ok && (c.Index == index || b.Status(now)[c.Index].DrainListed || b.Status(now)[c.Index].EjectedFor > 0) {
				t.Fatalf("picked an excluded, draining or ejected target: %+v", c)
			}
			if _, ok := b.Pick(now, pickOptions(short)); ok != (serving > 0) {
				t.Fatalf("Pick returned %v with %d targets serving", ok, serving)
			}
		}
	})
}

// Guards against long requests that take the slots reserved for short ones when
// all instances send as many as they may.
func TestLongSlotsArePartitioned(t *testing.T) {
	is := is.New(t)
	longInFlight, shares := make([]int, 12), 0
	for i := range 5 {
		b := balancer.New(balancer.Options{Pool: pool(12, 6), Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		is.Equal(b.LongShare(), 1) // the members are unknown
		b.SetFleet(0, fleet(5, i))
		shares += b.LongShare()
		for range b.LongShare() {
			c, ok := b.Pick(0, pickOptions(long))
			is.True(ok)
			b.Sent(0, c.Index, long)
			longInFlight[c.Index]++
		}
		_, ok := b.Pick(0, pickOptions(long))
		is.True(!ok)
	}
	is.Equal(shares, 36)
	for _, n := range longInFlight {
		is.Equal(n, 3)
	}
}

// Guards against long requests to a target whose long slots are all used by other
// instances.
func TestLongCapSeenByReports(t *testing.T) {
	is := is.New(t)
	b := newSingleInstance(1)
	r := report(3)
	r.Load.Long = 2
	b.Probed(0, balancer.ProbeResult{Target: "t0", OK: true, Report: r})
	_, ok := b.Pick(0, pickOptions(long))
	is.True(!ok)
	_, ok = b.Pick(0, pickOptions(short))
	is.True(ok)
}

// Guards against targets of a large pool that are used by no instance or by
// unequal numbers of instances.
func TestSubsetsCoverEveryTargetEqually(t *testing.T) {
	is := is.New(t)
	users, longSlots, smallest := make([]int, 200), make([]int, 200), 200
	for i := range 20 {
		b := balancer.New(balancer.Options{Pool: pool(200, 4), Rand: rand.New(rand.NewPCG(1, 1))})
		b.SetFleet(0, fleet(20, i))
		smallest = min(smallest, b.Serving())
		for j, s := range b.Status(0) {
			longSlots[j] += s.LongSlots
			if s.InSubset {
				users[j]++
			} else {
				is.Equal(s.LongSlots, 0)
			}
		}
	}
	for j, n := range users {
		is.Equal(n, 7) // 64 × 20 / 200, rounded up
		is.Equal(longSlots[j], 2)
	}
	is.True(smallest > 45) // of a mean of 70
}

// Guards against slots reserved for short requests in a pool that has none, which
// would halve its capacity.
func TestLongOnlyPoolUsesAllSlots(t *testing.T) {
	is := is.New(t)
	p := pool(3, 4)
	p.LongOnly = true
	b := balancer.New(balancer.Options{Pool: p, Rand: rand.New(rand.NewPCG(1, 1))})
	b.SetFleet(0, fleet(1, 0))
	is.True(b.LongShare() >= 12)
	free := 0
	for now := time.Millisecond; now <= 12*time.Millisecond; now += time.Millisecond {
		choice, ok := b.Pick(now, balancer.PickOptions{Class: tables.ClassLong})
		is.True(ok)
		if choice.Free {
			free++
		}
		b.Sent(now, choice.Index, tables.ClassLong)
	}
	is.Equal(free, 12)
}
