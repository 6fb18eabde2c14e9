package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
			is.True(p.HeldBackFor(2, service) > 0)                  // c.name
			is.Equal(p.Advised(4, a.Incarnation(), placement.Advice{}, c.then), c.ends)
			is.Equal(p.HeldBackFor(4, service) == 0, c.ends) // c.name
		}
	}
}
