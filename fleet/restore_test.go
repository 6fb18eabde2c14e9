package fleet_test

import (
	"fmt"
	"testing"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// targets returns a condition: an instance uses exactly these targets.
func targets(ids ...string) func(*instance) bool {
	return func(i *instance) bool {
		list := i.View().Targets["s"]
		for n, t := range list {
			if len(list) != len(ids) || t.ID != ids[n] {
				return false
			}
		}
		return len(list) == len(ids)
	}
}

// Guards against a store that is restored from an older copy and whose changes are ignored
// until its revision is above the one before: at other instances than the readers,
// also if it is restored for the second time at the same revision.
func TestChangesOfARestoredStoreReachAll(t *testing.T) {
	c := newCluster(t, 3)
	c.setVersion(1)
	c.store.change(records.Record{Key: "a", Value: []byte("x")})
	copied := c.store.position().Revision
	c.startAll(3)
	c.await("version 1", version(1))
	for era := range int64(2) {
		lost := fmt.Sprint("lost", era)
		c.store.change(records.Record{Key: lost, Value: []byte("x")})
		c.setVersion(10*era + 5)
		c.await("the version that will be lost", version(10*era+5))
		c.store.restore(copied)
		c.setVersion(10*era + 6)
		c.store.change(records.Record{Key: "b", Value: []byte("x")})
		c.await("the version after the restore", version(10*era+6))
		c.await("no target that is missing from the copy", targets("a", "b"))
	}
	c.await("one position everywhere", func(i *instance) bool { return i.View().Position == c.store.position() })
}

// Guards against an instance that starts with the older configuration of a restored store
// although its peers have a newer one in force, also if they have it from a peer.
func TestStartingInstanceGetsNewestConfiguration(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	copied := c.store.position().Revision
	c.startAll(2)
	c.setVersion(5)
	c.await("version 5", version(5))
	c.store.restore(copied)
	c.await("the position of the restored store", func(i *instance) bool { return i.View().Position == c.store.position() })
	c.start(0, 3)
	c.start(1, 3)
	c.await("version 5", version(5))
	for _, first := range []int{1, 2} {
		c.stop(address(0, first))
		c.stop(address(1, first))
	}
	c.start(0, 1)
	c.await("version 5", version(5))
	c.setVersion(6)
	c.await("version 6", version(6))
}
