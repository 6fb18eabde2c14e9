package faults_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// changeDeadline makes an edit that has no effect on the traffic of the tests.
func changeDeadline(d *tables.Document) { d.Routes[0].DeadlineMillis-- }

// Guards against instances that keep an old configuration when they cannot read the
// configuration service and others can, after one edit and after several in a row.
func TestEditReachesInstancesWithoutService(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 20, targets: 4, domains: []string{"a", "b", "c", "d"}})
	w.startCallers(4, nil)
	for index := range 20 {
		w.fleet.SetConfigurationBlocked(index, odd(index))
	}
	everyone := w.instancesAt(all)
	w.waitInForce(everyone, w.edit(everyone, changeDeadline))
	var last uint64
	for range 5 {
		last = w.edit(everyone, changeDeadline)
	}
	w.waitInForce(everyone, last)
	w.waitForResponses(50)
	w.verify()
}

// refusedEvents returns the number of refused documents in an instance's time line.
func refusedEvents(in *testbed.Instance) int {
	n := 0
	for _, event := range in.Timeline().Select(timeline.Filter{StateOnly: true}) {
		if event.Kind == timeline.ConfigurationRefused {
			n++
		}
	}
	return n
}

// Guards against an invalid, outdated or conflicting document that takes effect, is
// refused without an entry in status and time line, or blocks later edits. Half of the
// fleet cannot read the configuration service.
func TestInvalidDocumentsAreRefusedAndReported(t *testing.T) {
	// The added comment makes the document differ from the one that instances read
	// before, because a watch does not return the same content again.
	old := func(first, _ []byte) []byte { return append(bytes.Clone(first), "\n// old\n"...) }
	for name, wrong := range map[string]func(first, newest []byte) []byte{
		"invalid": func(_, newest []byte) []byte {
			return bytes.Replace(newest, []byte(`"pool": "p"`), []byte(`"pool": "q"`), 1)
		},
		"cut short":     func(_, newest []byte) []byte { return newest[:len(newest)/2] },
		"lower":         old,
		"other content": func(_, newest []byte) []byte { return append(bytes.Clone(newest), "\n// other\n"...) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newScenario(t, scenarioOptions{instances: 4, targets: 2})
			w.startCallers(2, nil)
			first, everyone := w.fleet.Document(), w.instancesAt(all)
			version := w.edit(everyone, changeDeadline)
			w.waitInForce(everyone, version)
			for index := range 4 {
				w.fleet.SetConfigurationBlocked(index, odd(index))
			}
			w.fleet.Configuration.Set(wrong(first, w.fleet.Document()))
			for _, instance := range w.instancesAt(even) {
				w.waitUntil("the refusal is in status and time line of "+instance.ID(), func() bool {
					c := instance.Status().Configuration
					return (c.LastRefused != nil || len(c.Conflicts) > 0) && refusedEvents(instance) > 0
				})
			}
			for _, instance := range everyone {
				is.Equal(instance.Status().Configuration.Version, version)
			}
			w.waitInForce(everyone, w.edit(everyone, changeDeadline))
			w.waitForResponses(20)
			w.verify()
		})
	}
}

// Guards against a new instance that serves an older configuration than the fleet
// because the configuration service is down or returns wrong content.
func TestReplacedWhileServiceIsWrong(t *testing.T) {
	for name, mode := range map[string]func(first []byte) standin.Mode{
		"down":      func([]byte) standin.Mode { return standin.Mode{Down: true} },
		"cut":       func([]byte) standin.Mode { return standin.Mode{CloseConnection: true} },
		"stale":     func(first []byte) standin.Mode { return standin.Mode{Override: first} },
		"flapping":  func(first []byte) standin.Mode { return standin.Mode{Alternate: [][]byte{first, []byte("{}"), first}} },
		"nonsense":  func([]byte) standin.Mode { return standin.Mode{Override: []byte("<html>")} },
		"truncated": func([]byte) standin.Mode { return standin.Mode{Truncate: true} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newScenario(t, scenarioOptions{instances: 3, targets: 2})
			w.startCallers(2, nil)
			first, everyone := w.fleet.Document(), w.instancesAt(all)
			w.edit(everyone, changeDeadline)
			version := w.edit(everyone, changeDeadline)
			w.waitInForce(everyone, version)
			w.fleet.Configuration.SetMode(mode(first))
			for index := range 2 { // the first is removed from the list of instances, the second is not
				if index == 0 {
					w.fleet.Unlist(w.fleet.Instances()[index])
				}
				w.kill(index)
				replacement := w.replace(index)
				w.waitServing(replacement)
				if got := replacement.Status().Configuration.Version; got != version {
					t.Errorf("instance %s serves version %d, the fleet %d", replacement.ID(), got, version)
				}
			}
			w.waitForResponses(20)
			w.fleet.Configuration.SetMode(standin.Mode{})
			everyone = w.instancesAt(all)
			w.waitInForce(everyone, w.edit(everyone, changeDeadline))
			w.verify()
		})
	}
}

// Guards against remaining instances that stop serving, new instances without the
// configuration, and too many reads of the configuration service, when half of the
// fleet is replaced while that service is down.
func TestHalfReplacedWhileServiceIsDown(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 8, targets: 4})
	w.startCallers(8, nil)
	version := w.edit(w.instancesAt(all), changeDeadline)
	w.waitInForce(w.instancesAt(all), version)
	w.fleet.Configuration.SetMode(standin.Mode{Down: true})
	reads := countReads(w)
	var replacements []*testbed.Instance
	for index := range 8 {
		if odd(index) {
			w.kill(index)
		}
	}
	w.waitForResponses(100) // from the remaining instances
	for index := range 8 {
		if odd(index) {
			replacements = append(replacements, w.replace(index))
		}
	}
	w.waitServing(replacements...)
	w.waitInForce(replacements, version)
	w.waitForResponses(100)
	reads(12) // 8 old instances and 4 new ones
	w.fleet.Configuration.SetMode(standin.Mode{})
	w.waitInForce(w.instancesAt(all), w.edit(w.instancesAt(all), changeDeadline))
	w.verify()
}

// countReads returns a check that, since the call of countReads, the given number of
// instances have read the configuration service at most 8 times each, plus twice per
// second.
func countReads(w *scenario) func(instances int64) {
	before, start := w.fleet.Configuration.Calls(), time.Now()
	return func(instances int64) {
		w.t.Helper()
		calls, limit := w.fleet.Configuration.Calls()-before, instances*(8+2*int64(time.Since(start).Seconds()+1))
		if calls > limit {
			w.t.Errorf("%d reads, at most %d", calls, limit)
		}
	}
}
