package relay_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/relay"
)

func peers(domains ...string) []relay.Peer {
	list := make([]relay.Peer, len(domains))
	for n, domain := range domains {
		list[n] = relay.Peer{IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), FailureDomain: domain, Weight: 1}
	}
	return list
}

func newChooser() *relay.Chooser { return relay.NewChooser("a", rand.New(rand.NewPCG(1, 2))) }

// chosen returns how many of n requests at the same time each instance gets.
func chosen(c *relay.Chooser, now time.Duration, list []relay.Peer, n int) map[netip.Addr]int {
	counts := make(map[netip.Addr]int)
	for range n {
		if p, ok := c.Choose(now, "s", list, nil); ok {
			counts[p.IP]++
		}
	}
	return counts
}

// Guards against requests that all go to the few instances of a failure domain that still
// reach targets, and against traffic between domains where most of one's own do.
func TestChoiceStaysInTheDomainWhileMostOfItWorks(t *testing.T) {
	list := peers("a", "a", "a", "a", "b", "b", "b", "b")
	for _, test := range []struct {
		cutOff       int // of domain a
		local, other int // instances that get requests
	}{{0, 4, 0}, {2, 2, 0}, {3, 1, 4}, {4, 0, 4}} {
		is := is.New(t)
		for n := range 4 {
			list[n].CutOff = n < test.cutOff
		}
		counts := chosen(newChooser(), 0, list, 400)
		local, other := 0, 0
		for n, p := range list {
			is.True(counts[p.IP] == 0 || !p.CutOff)
			is.True(counts[p.IP] <= 2*400/(test.local+test.other)) // none gets far more than its part
			switch {
			case counts[p.IP] == 0:
			case n < 4:
				local++
			default:
				other++
			}
		}
		is.Equal(local, test.local)
		is.Equal(other, test.other)
	}
}

// Guards against requests that wait for instances which do not answer, and against an outage
// of a service in which each instance passes all its requests on to others in vain.
func TestInstancesThatCannotServeAreLeftOut(t *testing.T) {
	is := is.New(t)
	list := peers("a", "a", "b")
	c := newChooser()
	first, ok := c.Choose(0, "s", list, nil)
	is.True(ok)
	c.Ended(0, "s", first.IP, relay.Lost)
	is.Equal(chosen(c, time.Millisecond, list, 50)[first.IP], 0)
	is.True(chosen(c, 2*time.Second, list, 50)[first.IP] > 0)

	c, many := newChooser(), peers("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	asked := 0
	for n := range 1000 { // requests within half a second
		if p, ok := c.Choose(time.Duration(n)*500*time.Microsecond, "s", many, nil); ok {
			asked++
			c.Ended(time.Duration(n)*500*time.Microsecond, "s", p.IP, relay.Unable)
		}
	}
	is.True(asked < len(many))
	_, ok = c.Choose(500*time.Millisecond, "other", many, nil)
	is.True(ok) // another service may answer
	p, ok := c.Choose(2*time.Second, "s", many, nil)
	is.True(ok)
	c.Ended(2*time.Second, "s", p.IP, relay.Answered)
	is.Equal(len(chosen(c, 2*time.Second, many, 400)), len(many))
}

// Guards against a second send to the instance that a request was sent to before.
func TestTriedInstancesAreLeftOut(t *testing.T) {
	is := is.New(t)
	list := peers("a", "b")
	p, ok := newChooser().Choose(0, "s", list, []netip.Addr{list[0].IP})
	is.True(ok)
	is.Equal(p.IP, list[1].IP)
	_, ok = newChooser().Choose(0, "s", list, []netip.Addr{list[0].IP, list[1].IP})
	is.True(!ok)
}
