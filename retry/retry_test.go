package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/retry"
)

// Guards against bursts of extra attempts: in every span there may be at most one,
// plus one per ten requests.
func TestBudgetHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		var history []bool // true for an extra attempt, false for a request
		for _, extra := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "events") {
			if !extra {
				b.Request(0)
				history = append(history, false)
			} else if b.Take() {
				history = append(history, true)
			}
		}
		for from := range history {
			requests, extras := 0, 0
			for _, extra := range history[from:] {
				if extra {
					extras++
				} else {
					requests++
				}
				if 10*extras > requests+10 {
					t.Fatalf("%d extra attempts exceed the budget of %d requests", extras, requests)
				}
			}
		}
	})
}

// Guards against a budget that allows extra attempts before any request.
func TestBudgetStartsEmpty(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	is.True(!b.Take())
	for range 10 {
		b.Request(0)
	}
	is.True(b.Take())
	is.True(!b.Take())
}

// Guards against a threshold that far more or far fewer than 5% of the requests
// exceed.
func TestStragglerThreshold(t *testing.T) {
	is := is.New(t)
	s := retry.NewStragglerDetector()
	_, known := s.Threshold()
	is.True(!known)
	for i := range 2000 {
		s.Add(time.Duration(1+i%100) * time.Millisecond)
	}
	threshold, known := s.Threshold()
	is.True(known)
	is.True(threshold >= 95*time.Millisecond && threshold <= 114*time.Millisecond) // buckets are 19% wide
}
