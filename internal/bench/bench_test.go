package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against scenarios whose arrivals differ between runs with the same
// seed, whose rate one process cannot serve, or whose steps are out of order.
func TestScenarioPlans(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			o := &Options{Seed: 5, Duration: 20 * time.Second}
			first, second, other := s.plan(o), s.plan(o), s.plan(&Options{Seed: 6, Duration: o.Duration})
			for n := range first.Streams {
				is.Equal(first.Streams[n].Trace, second.Streams[n].Trace)
				is.True(first.Streams[n].Trace.Arrivals[0] != other.Streams[n].Trace.Arrivals[0])
			}
			rate := float64(len(first.Streams[0].Trace.Arrivals)) / o.Duration.Seconds()
			is.True(rate < 4000) // calls/s that one process can serve
			for n := 1; n < len(first.Steps); n++ {
				is.True(first.Steps[n-1].At <= first.Steps[n].At)
			}
		})
	}
	is.New(t).Equal(len(Scenarios()), 13)
}
