package faults_test

import (
	"sync"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// split cuts the fleet into two halves and waits until both have noticed.
func (w *scenario) split() {
	w.t.Helper()
	w.fleet.Partition(func(place int) int { return place % 2 })
	for _, half := range [][]*testbed.Instance{w.places(even), w.places(odd)} {
		for _, instance := range half {
			w.until("instance "+instance.ID()+" sees its half only", func() bool {
				return instance.Status().Fleet.Live == len(half)
			})
		}
	}
}

// resend sends an order with one ticket to the given instances, all at the
// same time, and each of them twice.
func (w *scenario) resend(r *raw, o order, ticket string, instances []*testbed.Instance) {
	var sends sync.WaitGroup
	for n, instance := range append(instances, instances...) {
		sends.Go(func() { r.send(instance.CallerAddress(), o, ticket, n+1) })
	}
	sends.Wait()
}

// Guards against a second run, a false "not run" and a lost edit when the
// fleet is split, one half only reads an edit, and callers resend the same
// ticket through both halves.
func TestPartition(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 6, targets: 4, domains: []string{"a", "b"}})
	w.load(6, nil)
	for place := range 6 {
		w.fleet.SetConfigurationBlocked(place, odd(place))
	}
	w.split()
	seeing, blind := w.places(even), w.places(odd)
	old := blind[0].Status().Configuration.Version
	var last uint64
	for range 3 {
		last = w.edit(seeing, reword)
	}
	w.inForce(seeing, last)
	r := w.raw()
	for n := range 10 {
		owner := w.fleet.Instances()[n%6]
		for _, ticket := range r.tickets(owner.CallerAddress(), 2) {
			w.resend(r, w.order(pathRecord), ticket, []*testbed.Instance{owner, seeing[0], blind[0]})
		}
	}
	for _, instance := range blind {
		if got := instance.Status().Configuration.Version; got != old {
			t.Errorf("instance %s has version %d and can only know %d", instance.ID(), got, old)
		}
	}
	w.fleet.Partition(nil)
	w.expect(last, time.Now(), w.places(all))
	w.inForce(w.places(all), last)
	w.moreAnswers(50)
	w.verify()
}

// Guards against two partitions in a row that lose edits made in each.
func TestPartitionTwice(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 4})
	w.load(4, nil)
	for round := range 2 {
		for place := range 4 {
			w.fleet.SetConfigurationBlocked(place, place%2 == round)
		}
		w.split()
		seeing := w.places(func(place int) bool { return place%2 != round })
		version := w.edit(seeing, reword)
		w.inForce(seeing, version)
		w.fleet.Configuration.SetMode(standin.Mode{Down: true}) // peers only
		w.fleet.Partition(nil)
		w.expect(version, time.Now(), w.places(all))
		w.inForce(w.places(all), version)
		w.fleet.Configuration.SetMode(standin.Mode{})
		if err := w.fleet.WaitReady(hangLimit); err != nil {
			t.Fatal(err)
		}
	}
	w.moreAnswers(50)
	w.verify()
}
