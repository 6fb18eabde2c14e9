package quantile_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/internal/quantile"
)

// bucketWidth is the ratio between two bucket edges, the fourth root of 2.
var bucketWidth = math.Exp2(0.25)

// Guards against an estimate that is wrong by more than one bucket, for any samples
// in the range of the buckets.
func TestValueIsWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.1, 0.5, 0.9, 0.95, 1}).Draw(t, "share")
		micros := rapid.SliceOfN(rapid.Int64Range(50, 60_000_000), 16, 200).Draw(t, "samples")
		micros = micros[:len(micros)/16*16] // the estimate is updated every 16 samples
		e := quantile.New(share)
		for _, m := range micros {
			e.Add(time.Duration(m) * time.Microsecond)
		}
		slices.Sort(micros)
		exact := float64(micros[int(math.Ceil(share*float64(len(micros))))-1]) * float64(time.Microsecond)
		if got := float64(e.Value()); got < exact*0.999 || got > exact*bucketWidth*1.001 {
			t.Fatalf("share %v: %v, exact %v", share, e.Value(), time.Duration(exact))
		}
	})
}

// Guards against estimates from too few samples, and against samples outside of the
// range that are dropped or cause a panic.
func TestFewAndExtremeSamples(t *testing.T) {
	is := is.New(t)
	e := quantile.New(0.5)
	for range 15 {
		e.Add(time.Millisecond)
		is.Equal(e.Value(), time.Duration(0))
	}
	e.Add(time.Millisecond)
	is.True(e.Value() >= time.Millisecond)
	for _, sample := range []time.Duration{-time.Second, 0, math.MaxInt64} {
		e := quantile.New(1)
		for range 16 {
			e.Add(sample)
		}
		is.True(e.Value() >= 50*time.Microsecond && e.Value() < time.Hour)
	}
}

// Guards against old samples that keep their weight, and against a single outlier
// that changes the estimate.
func TestOldSamplesFade(t *testing.T) {
	is := is.New(t)
	e := quantile.New(0.9)
	random := rand.New(rand.NewPCG(1, 1))
	add := func(n int, mean time.Duration) {
		for range n {
			e.Add(mean/2 + time.Duration(random.Int64N(int64(mean))))
		}
	}
	add(2000, 100*time.Millisecond)
	is.True(e.Value() > 130*time.Millisecond)
	add(3000, 10*time.Millisecond)
	is.True(e.Value() < 20*time.Millisecond)
	e.Add(time.Minute)
	add(15, 10*time.Millisecond)
	is.True(e.Value() < 20*time.Millisecond)
}
