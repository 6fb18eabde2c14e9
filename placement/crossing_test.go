package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// learnSize records responses of bytes from an idle target.
func learnSize(p *placement.Placer, r *placement.Request, t *catalog.Target, bytes int64) {
	choice, _ := p.Choose(0, r, []placement.Report{report(t, 0, 0, 1)}, placement.RequireObjective)
	for range 20 {
		p.Ended(0, t.Incarnation(), 0, r.Route, choice, placement.Outcome{Responded: true, Latency: 300 * time.Millisecond, ResponseBytes: bytes})
	}
}

// Guards against large responses that cross failure domains while a near target meets the
// objective, and against a near target that misses it.
func TestLargeResponsesStayNear(t *testing.T) {
	near, far := newTarget("near", "near"), newTarget("far", "b")
	for name, c := range map[string]struct {
		bytes        int64
		nearSlowness float64
		want         *catalog.Target
		sufficient   bool // without a report of far
	}{
		"small response, near is slower":       {400, 1.5, far, false},
		"large response, near is slower":       {90_000, 1.5, near, true},
		"large response, near misses the goal": {90_000, 4, far, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, r := newPlacer(near, far), newRequest(2)
			learnSize(p, r, near, c.bytes)
			reports := []placement.Report{report(near, 0, 0, c.nearSlowness), report(far, 0, 0, 1)}
			choice, ok := p.Choose(0, r, reports, placement.RequireObjective)
			is.True(ok)
			is.Equal(choice.Target, c.want)
			is.Equal(p.HasGoodTarget(0, r, reports[:1]), c.sufficient)
		})
	}
}

// Guards against a far target that is taken to meet the objective although the measured
// round trip uses up the time.
func TestRoundTripsCountTowardsTheObjective(t *testing.T) {
	is := is.New(t)
	far := newTarget("far", "b")
	p, r := newPlacer(far), newRequest(2)
	reports := []placement.Report{report(far, 0, 0, 1)}
	before, ok := p.Choose(0, r, reports, placement.RequireObjective)
	is.True(ok)
	p.ProbeTook("near", time.Millisecond)
	p.ProbeTook("b", 111*time.Millisecond)
	after, ok := p.Choose(0, r, reports, placement.RequireObjective)
	is.True(ok)
	is.Equal((after.Expected - before.Expected).Round(time.Millisecond), 106*time.Millisecond) // 110 ms, 4 ms are assumed at first
	_, ok = newPlacerWithRoundTrip(far, time.Second).Choose(0, r, reports, placement.RequireObjective)
	is.True(!ok)
}

func newPlacerWithRoundTrip(far *catalog.Target, took time.Duration) *placement.Placer {
	p := newPlacer(far)
	p.ProbeTook("near", time.Millisecond)
	p.ProbeTook(far.FailureDomain, took)
	return p
}
