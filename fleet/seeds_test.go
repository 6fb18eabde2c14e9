package fleet_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
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

// Guards against an instance that reaches no other one and takes itself for the whole
// fleet: each of several such instances would use the whole of each fleet-wide budget, and
// learn of each request that crashes targets by crashes of its own.
func TestInstanceThatReachesNoSeedIsIsolated(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startWithoutSeeds(1)
	c.await("isolation", func(i *instance) bool { return i.Snapshot().Isolated })
	s := c.running[address(0, 1)].Snapshot()
	is.Equal(s.Size, 4) // the seeds may be running
	mine := 0
	for key := range uint64(100) {
		if has, of := s.Share(key, 0, 1); has {
			is.Equal(of, 1)
			mine++
		}
	}
	is.True(mine > 5 && mine < 50) // a quarter
}

// Guards against isolation of the only instance of a fleet, whose seeds name itself.
func TestOnlyInstanceIsNotIsolated(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.seeds = []netip.Addr{address(0, 1)}
	c.setVersion(1)
	i := c.start(0, 1)
	c.await("its share", func(i *instance) bool { mine, _ := i.Snapshot().Share(1, 0, 1); return mine }) // not before isolatedAfter
	is.True(!i.Snapshot().Isolated)
	is.Equal(i.Snapshot().Size, 1)
}
