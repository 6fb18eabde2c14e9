package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against instances that let a request crash more targets since they did
// not hear what others saw, and against strikes that are counted twice.
func TestStrikesReachAllOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(6)
	c.await("the configuration", version(1))
	teller := c.running[address(0, 2)]
	teller.ReportFailure(quarantine.FailureReport{Target: 1})
	c.await("the strike", func(i *instance) bool { return i == teller || i.strikes.Load() > 0 })
	teller.ReportFailure(quarantine.FailureReport{Target: 2})
	c.await("the next one", func(i *instance) bool { return i == teller || i.strikes.Load() > 1 })
	for _, i := range c.running {
		is.True(i == teller || i.strikes.Load() == 2)
	}
}
