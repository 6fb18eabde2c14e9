package fleet_test

import (
	"net/netip"
	"testing"
)

// startWithoutSeeds starts n instances of one failure domain whose seeds are down.
func (c *cluster) startWithoutSeeds(n int) {
	c.seeds = []netip.Addr{address(0, 101), address(0, 102), address(0, 103)}
	c.setVersion(1)
	for i := range n {
		c.start(0, i+1)
	}
}

// Guards against instances that start while their seeds are down and never find each
// other, although their settings name running ones later.
func TestInstancesFindEachOtherByChangedSeeds(t *testing.T) {
	c := newCluster(t, 1)
	c.startWithoutSeeds(4)
	c.await("the configuration", version(1)) // from the store
	c.seeds = []netip.Addr{address(0, 1), address(0, 2), address(0, 103)}
	for _, i := range c.running {
		i.SetSeeds(c.seeds)
	}
	c.await("4 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 4 && i.Snapshot().Size == 4 })
	c.await("contact", func(i *instance) bool { return !i.Snapshot().Isolated })
}
