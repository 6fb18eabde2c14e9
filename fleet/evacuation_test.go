package fleet_test

import (
	"testing"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// evacuated returns a condition: exactly these failure domains are evacuated.
func evacuated(domains ...string) func(*instance) bool {
	return func(i *instance) bool {
		list := i.View().Evacuated
		for n, d := range list {
			if len(list) != len(domains) || d != domains[n] {
				return false
			}
		}
		return len(list) == len(domains)
	}
}

// Guards against targets of an evacuated failure domain that get new requests at some
// instance, and against an evacuation that stays in force, or comes back, after its end.
func TestEvacuationReachesAllAndEnds(t *testing.T) {
	c := newCluster(t, 3)
	c.store.change(records.Record{Key: "a", Value: []byte("d0")})
	c.store.change(records.Record{Key: "b", Value: []byte("d1")})
	c.startAll(3)
	c.await("both targets", targets("a", "b"))
	for range 2 {
		c.store.change(records.Record{Key: "evacuate/d1"})
		c.await("the evacuation", evacuated("d1"))
		c.await("the other target", targets("a"))
		c.start(2, 9)
		c.await("the evacuation at an instance that starts", evacuated("d1"))
		c.stop(address(2, 9))
		c.store.change(records.Record{Key: "evacuate/d1", Deleted: true})
		c.await("no evacuation", evacuated())
		c.await("both targets again", targets("a", "b"))
	}
}

// Guards against evacuations that are not in force once the operators write them again to a
// store that was restored from a copy without them.
func TestEvacuationAfterRestoredStore(t *testing.T) {
	c := newCluster(t, 2)
	c.store.change(records.Record{Key: "a", Value: []byte("d0")})
	c.store.change(records.Record{Key: "b", Value: []byte("d1")})
	copied := c.store.position().Revision
	c.startAll(3)
	c.store.change(records.Record{Key: "evacuate/d1"})
	c.await("the evacuation", evacuated("d1"))
	c.store.restore(copied)
	c.store.change(records.Record{Key: "evacuate/d0"})
	c.store.change(records.Record{Key: "evacuate/d1"})
	c.await("both evacuations", evacuated("d0", "d1"))
	c.store.change(records.Record{Key: "evacuate/d0", Deleted: true})
	c.await("the evacuation that was written again", evacuated("d1"))
}
