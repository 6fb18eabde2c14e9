package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/retry"
)

// Guards against retries beyond the fleet's budget in any window, summed over
// instances with different loads.
func TestSharesKeepTheFleetBudget(t *testing.T) {
	const (
		ratio     = 0.2
		allowance = 75.0
		window    = 10 * time.Second
		step      = 100 * time.Millisecond
		steps     = 400
	)
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 30).Draw(t, "instances")
		shares := make([]*retry.BudgetShare, instances)
		for i := range shares {
			shares[i] = &retry.BudgetShare{Ratio: ratio, Allowance: allowance, Window: window, NewFleet: true,
				Offset: rapid.Float64Range(0, 1).Draw(t, "offset")}
		}
		peakStart := rapid.IntRange(0, steps).Draw(t, "peak start")
		requests, retries := make([]int, steps), make([]int, steps)
		for n := range steps {
			now := time.Duration(n) * step
			for i, s := range shares {
				arrivals := 1
				if n > peakStart && n < peakStart+30 {
					arrivals = 1 + i%5
				}
				for range arrivals {
					s.Request(now)
					requests[n]++
					for s.Take(now, instances, 1) {
						retries[n]++
					}
				}
			}
		}
		span := int(window / step)
		sum := func(list []int, from, to int) (total int) {
			for _, n := range list[max(0, from):max(0, to)] {
				total += n
			}
			return total
		}
		for end := span; end <= steps; end++ {
			counted := max(sum(requests, end-span, end), sum(requests, end-2*span, end-span),
				sum(requests, end-3*span/2, end-span/2))
			if used, most := sum(retries, end-span, end), ratio*float64(counted)+allowance; float64(used) > most {
				t.Fatalf("%d retries in the window that ends at step %d, want at most %.1f", used, end, most)
			}
		}
	})
}

// Guards against a restarted instance that uses an allowance which its former
// process has already used.
func TestRestartedInstanceHasNoAllowance(t *testing.T) {
	s := &retry.BudgetShare{Ratio: 0.2, Allowance: 75, Window: 10 * time.Second}
	if s.Take(time.Second, 1, 1) {
		t.Fatal("a retry was granted without requests in the first window")
	}
	if !s.Take(11*time.Second, 1, 1) {
		t.Fatal("no retry was granted after the first window")
	}
}

// Guards against a budget that stays mostly unused when many instances have small
// shares: rounded down, 153 shares of 1.96 retries allow 153 instead of 300.
func TestSmallSharesAddUpToTheFleetBudget(t *testing.T) {
	is := is.New(t)
	const instances, requests, ratio = 1000, 11, 0.2
	random := rand.New(rand.NewPCG(1, 2))
	total := 0
	for range instances {
		s := &retry.BudgetShare{Ratio: ratio, Window: 10 * time.Second, Offset: random.Float64()}
		for range requests {
			s.Request(time.Second)
		}
		for s.Take(time.Second, instances, 1) {
			total++
		}
	}
	budget := ratio * requests * instances
	is.True(float64(total) > 0.8*budget)
	is.True(float64(total) < 0.9*budget) // the margin for unaligned windows is kept
}
