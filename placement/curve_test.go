package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a saturation point that is fitted to one deployment: the point is
// found for targets that slow down earlier or not at all, from noisy observations,
// and found again after a change.
func TestSaturationPointIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	learn := func(c *occupancyCurve, slots int, share float64) {
		for range 3000 {
			n := 1 + random.IntN(slots)
			slowdown := 1.0
			if float64(n) > share*float64(slots) {
				slowdown = 1.7
			}
			c.observe(float64(n)/float64(slots), slowdown*(0.5+random.Float64()))
		}
	}
	for _, c := range []struct {
		name        string
		slots, want int
		share       float64
	}{
		{"four slots, saturated above 0.8", 4, 3, 0.8},
		{"six slots, saturated above 0.8", 6, 4, 0.8},
		{"six slots, saturated above a half", 6, 3, 0.5},
		{"six slots, never saturated", 6, 6, 1},
		{"four slots, never saturated", 4, 4, 1},
		{"twenty slots, saturated above 0.8", 20, 16, 0.8},
	} {
		is := is.New(t)
		curve := newOccupancyCurve()
		learn(curve, c.slots, c.share)
		got := curve.saturation(c.slots)
		t.Logf("%s: %d", c.name, got)
		is.True(got == c.want || c.slots > 10 && got >= c.want-1 && got <= c.want) // c.name
		learn(curve, c.slots, 0.8)                                                 // the service changes
		is.True(curve.saturation(c.slots) <= c.slots*4/5)                          // c.name
	}
}

// Guards against filling targets of an unknown service.
func TestSaturationPointIsSafeAtFirst(t *testing.T) {
	is := is.New(t)
	for slots, want := range map[int]int{1: 1, 2: 1, 4: 3, 6: 4} {
		is.Equal(newOccupancyCurve().saturation(slots), want) // slots
	}
}

// Guards against a saturation point that differs from the definition, and against a search
// whose time grows with the number of slots, which other programs choose.
func TestSaturationPointOfAnyNumberOfSlots(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		c := newOccupancyCurve()
		for i := range c.slowdown {
			c.slowdown[i] = 1 + random.Float64()*random.Float64()
		}
		for slots := 1; slots <= 130; slots++ {
			highest, want := 0.0, slots
			for n := 1; n <= slots; n++ {
				highest = max(highest, c.throughput(n, slots))
			}
			for n := slots - 1; n >= 1; n-- {
				if c.throughput(n, slots)*throughputGain >= highest {
					want = n
				}
			}
			is.Equal(c.saturation(slots), want)
		}
		is.True(c.saturation(1<<40) >= 1)
	}
}
