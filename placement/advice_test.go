package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Guards against advice that ends because of a response from before it, or of a probe
// whose responses never contain it, and against advice that does not end.
func TestAdviceEndsWithALaterResponse(t *testing.T) {
	leaving, limited := placement.Advice{Leaving: true}, placement.Advice{Limited: true}
	probe := func(sent time.Duration) placement.Exchange { return placement.Exchange{SentAt: sent, Probe: true} }
	request := func(sent time.Duration) placement.Exchange { return placement.Exchange{SentAt: sent} }
	for _, c := range []struct {
		name        string
		first, then placement.Exchange
		ends        bool
	}{
		{"a later request", request(1), request(3), true},
		{"an earlier request that ends later", request(1), request(1), false},
		{"a later probe, never named in probes", request(1), probe(3), false},
		{"a later probe, named in one", probe(1), probe(3), true},
		{"a later request, named in a probe", probe(1), request(3), true},
	} {
		for _, advice := range []placement.Advice{leaving, limited} {
			is := is.New(t)
			a := newTarget("a", "near")
			p := newPlacer(a)
			is.True(p.Advised(2, a.Incarnation(), advice, c.first)) // c.name
			is.True(p.HeldBackFor(2, newRequest(2)) > 0)            // c.name
			is.Equal(p.Advised(4, a.Incarnation(), placement.Advice{}, c.then), c.ends)
			is.Equal(p.HeldBackFor(4, newRequest(2)) == 0, c.ends) // c.name
		}
	}
}

// Guards against advice that is forgotten while the entry of its target is away, and
// against advice that another incarnation of the target inherits.
func TestAdviceOutlivesTheEntry(t *testing.T) {
	for name, advice := range map[string]placement.Advice{
		"leaving": {Leaving: true},
		"limit":   {Limited: true},
		"pause":   {RetryAfter: time.Minute},
	} {
		for _, saidWhileAway := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				a, away := newTarget("a", "near"), 5*time.Second
				p := newPlacer(a)
				if !saidWhileAway {
					p.Advised(1, a.Incarnation(), advice, placement.Exchange{})
				}
				p.SetTargets(2, nil)
				if saidWhileAway { // in the response to a request that was sent before
					p.Advised(3, a.Incarnation(), advice, placement.Exchange{})
				}
				is.Equal(p.HasTargets(&catalog.Route{}, service), false)
				p.SetTargets(away, map[string][]*catalog.Target{service: {a}})
				is.True(p.HeldBackFor(away, newRequest(2)) > 0)
				restarted := *a
				restarted.StartUnixMS++
				p.SetTargets(away, map[string][]*catalog.Target{service: {&restarted}})
				is.Equal(p.HeldBackFor(away, newRequest(2)), time.Duration(0))
			})
		}
	}
}

// Guards against requests that count as in progress for ever because they ended while the
// entry of their target was away.
func TestRequestsThatEndWhileTheEntryIsAway(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "near")
	p := newPlacer(a)
	r := newRequest(1)
	for range a.Slots {
		p.Sent(1, a.Incarnation())
	}
	p.SetTargets(2, nil)
	for range a.Slots {
		p.Ended(3, a.Incarnation(), 1, r.Route, placement.Choice{}, placement.Outcome{})
	}
	p.SetTargets(4, map[string][]*catalog.Target{service: {a}})
	_, ok := p.Choose(4, r, []placement.Report{report(a, 0, 0, 1)}, placement.RequireIdle) // of before the requests
	is.True(ok)
}
