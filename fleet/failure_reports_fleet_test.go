package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against instances that let a request crash more targets because the failure
// reports of others do not reach them, and against reports that are counted twice.
func TestFailureReportsReachEachInstanceOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(6)
	c.await("the configuration", version(1))
	reporter := c.running[address(0, 2)]
	reporter.ReportFailure(quarantine.FailureReport{Target: 1})
	c.await("the first failure report", func(i *instance) bool { return i == reporter || i.failureReports.Load() > 0 })
	reporter.ReportFailure(quarantine.FailureReport{Target: 2})
	c.await("the second failure report", func(i *instance) bool { return i == reporter || i.failureReports.Load() > 1 })
	for _, i := range c.running {
		is.True(i == reporter || i.failureReports.Load() == 2)
	}
}
