package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Guards against taking a path that is lost for targets that are full, and the failure of
// some targets for the loss of the path.
func TestServiceIsUnreachableOnlyIfNoTargetAnswers(t *testing.T) {
	const ms = time.Millisecond
	a, b, c, d := newTarget("a", "near"), newTarget("b", "near"), newTarget("c", "near"), newTarget("d", "away")
	type event struct {
		now, sent time.Duration // sent < 0: an answer
		target    *catalog.Target
	}
	const answer = -1
	for _, test := range []struct {
		name   string
		events []event
		want   bool
	}{
		{"three silent targets", []event{{200 * ms, 50 * ms, a}, {201 * ms, 51 * ms, b}, {202 * ms, 52 * ms, d}}, true},
		{"two silent targets", []event{{200 * ms, 50 * ms, a}, {201 * ms, 51 * ms, b}}, false},
		{"the same target again", []event{{200 * ms, 50 * ms, a}, {400 * ms, 250 * ms, a}, {600 * ms, 450 * ms, a}}, false},
		{"another target answered meanwhile", []event{{100 * ms, answer, d}, {200 * ms, 50 * ms, a}, {201 * ms, 51 * ms, b}, {202 * ms, 52 * ms, c}}, false},
		{"one answers later", []event{{200 * ms, 50 * ms, a}, {201 * ms, 51 * ms, b}, {202 * ms, 52 * ms, c}, {300 * ms, answer, a}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer(a, b, c, d)
			for _, e := range test.events {
				if e.sent == answer {
					p.Answered(e.now, e.target.Incarnation())
				} else {
					p.Silent(e.now, e.sent, e.target.Incarnation())
				}
			}
			is.Equal(p.Unreachable(service), test.want)
		})
	}
	is := is.New(t)
	p := newPlacer(a) // a service with one target
	is.True(!p.Silent(200*ms, 50*ms, a.Incarnation()))
	is.True(!p.Silent(400*ms, 250*ms, a.Incarnation()))
	is.True(p.Silent(600*ms, 450*ms, a.Incarnation()))
}

// Guards against an instance that counts as cut off since one service is down, and against
// one that never finds out that a service answers again.
func TestCutOffMeansThatNoServiceAnswers(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "near"), newTarget("b", "near")
	b.Service = "other"
	start := func() *placement.Placer {
		p := newPlacer()
		p.SetTargets(0, map[string][]*catalog.Target{service: {a}, "other": {b}})
		p.Answered(time.Second, b.Incarnation())
		for range 3 {
			p.Silent(2*time.Second, time.Second, a.Incarnation())
		}
		return p
	}
	p := start()
	is.True(!p.CutOff(2 * time.Second)) // the other service has not been asked yet
	is.Equal(len(p.RecheckTargets(2*time.Second)), 2)
	is.True(p.CutOff(3 * time.Second))
	p = start()
	p.Answered(2*time.Second+1, b.Incarnation())
	is.True(!p.CutOff(3 * time.Second))
	is.Equal(p.RecheckTargets(3*time.Second), []*catalog.Target{a})
	regained, after := p.Answered(5*time.Second, a.Incarnation())
	is.True(regained)
	is.Equal(after, 3*time.Second)
	is.Equal(len(p.RecheckTargets(5*time.Second)), 0)
}
