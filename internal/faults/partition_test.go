package faults_test

import (
	"sync"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// partitionInHalves partitions the fleet into instances with even and with odd indexes,
// and waits until each counts only its half as live.
func (w *scenario) partitionInHalves() {
	w.t.Helper()
	w.fleet.Partition(func(index int) int { return index % 2 })
	for _, half := range [][]*testbed.Instance{w.instancesAt(even), w.instancesAt(odd)} {
		for _, instance := range half {
			w.waitUntil("instance "+instance.ID()+" sees its half only", func() bool {
				return instance.Status().Fleet.Live == len(half)
			})
		}
	}
}

// sendCopies sends a request with one ticket twice to each of the given instances, all
// at the same time.
func (w *scenario) sendCopies(r *rawClient, o testRequest, ticket string, instances []*testbed.Instance) {
	var copies sync.WaitGroup
	for n, instance := range append(instances, instances...) {
		copies.Go(func() { r.send(instance.CallerAddress(), o, ticket, n+1) })
	}
	copies.Wait()
}

// Guards against a second run, a false "not run" report and a lost edit when the fleet
// is partitioned, only one half can read the edit, and callers send requests with the
// same ticket through both halves.
func TestPartition(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 6, targets: 4, domains: []string{"a", "b"}})
	w.startCallers(6, nil)
	for index := range 6 {
		w.fleet.SetConfigurationBlocked(index, odd(index))
	}
	w.partitionInHalves()
	unblocked, blocked := w.instancesAt(even), w.instancesAt(odd)
	old := blocked[0].Status().Configuration.Version
	var last uint64
	for range 3 {
		last = w.edit(unblocked, changeDeadline)
	}
	w.waitInForce(unblocked, last)
	r := w.newRawClient()
	for n := range 10 {
		owner := w.fleet.Instances()[n%6]
		for _, ticket := range r.tickets(owner.CallerAddress(), 2) {
			w.sendCopies(r, w.newRequest(pathRecord), ticket, []*testbed.Instance{owner, unblocked[0], blocked[0]})
		}
	}
	for _, instance := range blocked {
		if got := instance.Status().Configuration.Version; got != old {
			t.Errorf("instance %s has version %d, but only version %d could reach it", instance.ID(), got, old)
		}
	}
	w.fleet.Partition(nil)
	w.expectEdit(last, time.Now(), w.instancesAt(all))
	w.waitInForce(w.instancesAt(all), last)
	w.waitForResponses(50)
	w.verify()
}

// Guards against lost edits when the fleet is partitioned twice in a row and an edit is
// made during each partition.
func TestPartitionTwice(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 4})
	w.startCallers(4, nil)
	for round := range 2 {
		for index := range 4 {
			w.fleet.SetConfigurationBlocked(index, index%2 == round)
		}
		w.partitionInHalves()
		unblocked := w.instancesAt(func(index int) bool { return index%2 != round })
		version := w.edit(unblocked, changeDeadline)
		w.waitInForce(unblocked, version)
		w.fleet.Configuration.SetMode(standin.Mode{Down: true}) // instances can get the configuration only from peers
		w.fleet.Partition(nil)
		w.expectEdit(version, time.Now(), w.instancesAt(all))
		w.waitInForce(w.instancesAt(all), version)
		w.fleet.Configuration.SetMode(standin.Mode{})
		if err := w.fleet.WaitReady(hangTimeout); err != nil {
			t.Fatal(err)
		}
	}
	w.waitForResponses(50)
	w.verify()
}
