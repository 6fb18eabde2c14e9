package fleet_test

import (
	"context"
	"testing"
	"time"

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
	reporter.ReportFailure(quarantine.FailureReport{Target: 1}, false)
	c.await("the first failure report", func(i *instance) bool { return i == reporter || i.failureReports.Load() > 0 })
	reporter.ReportFailure(quarantine.FailureReport{Target: 2}, true)
	c.await("the second failure report", func(i *instance) bool { return i == reporter || i.failureReports.Load() > 1 })
	for _, i := range c.running {
		is.True(i == reporter || i.failureReports.Load() == 2)
	}
}

// transmissionTime is longer than failure reports are transmitted to instances that are
// there when they are made.
const transmissionTime = 4 * time.Second

// Guards against a request that crashes further targets at instances that were away when
// its failure reports were sent.
func TestInstancesThatWereAwayGetFailureReports(t *testing.T) {
	c := newCluster(t, 1)
	c.setVersion(1)
	c.startAll(6)
	c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
	isolated := func(i *instance) bool { return i.Snapshot().Isolated }
	c.await("contact", func(i *instance) bool { return !isolated(i) })
	away, reporter := c.running[address(0, 6)], c.running[address(0, 2)]
	c.links.cutOff(address(0, 6))
	for target := range uint64(3) {
		reporter.ReportFailure(quarantine.FailureReport{Target: target}, false)
	}
	knows := func(i *instance) bool { return i == reporter || i.failureReports.Load() == 3 }
	c.await("the failure reports", func(i *instance) bool { return i == away || knows(i) })
	c.await("isolation of the one that is cut off", func(i *instance) bool { return isolated(i) == (i == away) })
	time.Sleep(transmissionTime)
	c.links.heal()
	c.start(0, 9)
	c.await("the failure reports, also where they were missed", knows)
	c.await("contact", func(i *instance) bool { return !isolated(i) })
}

// Guards against failure reports that stay at the only instance that made them, since it
// was cut off from the others at that time.
func TestInstanceThatWasCutOffPassesFailureReportsOn(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(3)
	c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
	reporter := c.running[address(1, 2)]
	c.links.cutOff(address(1, 2))
	for target := range uint64(3) {
		reporter.ReportFailure(quarantine.FailureReport{Target: target}, false)
	}
	time.Sleep(transmissionTime)
	c.links.heal()
	c.await("the failure reports", func(i *instance) bool { return i == reporter || i.failureReports.Load() == 3 })
}

// Guards against a failure report that is lost with the only instance that has it, which
// stops right after it made the report.
func TestStoppingInstancePassesItsFailureReportsOn(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(2)
	c.await("4 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 4 })
	reporter := c.running[address(0, 2)]
	reporter.ReportFailure(quarantine.FailureReport{Target: 1}, false)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	reporter.FlushReports(ctx)
	c.stop(address(0, 2))
	c.await("the failure report", func(i *instance) bool { return i.failureReports.Load() == 1 })
}
