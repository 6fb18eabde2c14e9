package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against control traffic of more than 22 KB/s per instance at the design
// size, all kinds together. Bytes are counted and rates are simulated, so the sum
// does not depend on the machine.
func TestControlTrafficBudget(t *testing.T) {
	is := is.New(t)
	const budget = 22_000 // bytes a second, sent and received together
	kinds, err := ControlTraffic()
	is.NoErr(err)
	sum := 0.0
	for _, k := range kinds {
		t.Logf("%-40s %8.3f messages/s %8.0f B/s", k.Kind, k.MessagesPerSecond, k.BytesPerSecond)
		is.True(k.MessagesPerSecond > 0 && k.BytesPerSecond > 0) // the kind was counted
		sum += k.BytesPerSecond
	}
	t.Logf("%.0f B/s in total", sum)
	is.True(sum < budget)
}

// Guards against a fit that swaps its coefficients or computes a wrong residual.
func TestFitLine(t *testing.T) {
	is := is.New(t)
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	f := fitLine([]Point{{0, 1}, {1, 3}, {2, 5}})
	is.True(near(f.Intercept, 1) && near(f.Slope, 2) && near(f.Residual, 0))
	is.True(near(f.At(10), 21))
	f = fitLine([]Point{{0, 0}, {1, 3}, {2, 0}}) // y = 1, errors -1, 2, -1
	is.True(near(f.Intercept, 1) && near(f.Slope, 0) && near(f.Residual, math.Sqrt(6)))
}

// Guards against a run that exceeds its duration, and against experiments that
// are skipped without being listed.
func TestRunNamesWhatItSkips(t *testing.T) {
	is := is.New(t)
	report, err := Run(t.Context(), Options{Duration: 1})
	is.NoErr(err)
	is.Equal(len(report.Measurements), 0)
	is.Equal(len(report.Skipped), len(experiments))
}
