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

// reword changes the document without an effect on the traffic.
func reword(d *tables.Document) { d.Routes[0].DeadlineMillis-- }

// Guards against instances that keep an old configuration when only others can
// read the configuration service, with one edit and with several in a row.
func TestEditReachesBlindHalf(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 20, targets: 4, domains: []string{"a", "b", "c", "d"}})
	w.load(4, nil)
	for place := range 20 {
		w.fleet.SetConfigurationBlocked(place, odd(place))
	}
	everyone := w.places(all)
	w.inForce(everyone, w.edit(everyone, reword))
	var last uint64
	for range 5 {
		last = w.edit(everyone, reword)
	}
	w.inForce(everyone, last)
	w.moreAnswers(50)
	w.verify()
}

// refusedEvents counts the refused documents in an instance's time line.
func refusedEvents(in *testbed.Instance) int {
	n := 0
	for _, event := range in.Timeline().Select(timeline.Filter{StateOnly: true}) {
		if event.Kind == timeline.ConfigurationRefused {
			n++
		}
	}
	return n
}

// Guards against a wrong document that takes effect, is refused without a
// trace, or keeps later edits out. Half of the fleet cannot read the service.
func TestWrongDocumentsAreRefusedVisibly(t *testing.T) {
	// The comment makes it differ from what an instance last read, which a watch
	// would not return.
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
			w.load(2, nil)
			first, everyone := w.fleet.Document(), w.places(all)
			version := w.edit(everyone, reword)
			w.inForce(everyone, version)
			for place := range 4 {
				w.fleet.SetConfigurationBlocked(place, odd(place))
			}
			w.fleet.Configuration.Set(wrong(first, w.fleet.Document()))
			for _, instance := range w.places(even) {
				w.until("the refusal is in status and time line of "+instance.ID(), func() bool {
					c := instance.Status().Configuration
					return (c.LastRefused != nil || len(c.Conflicts) > 0) && refusedEvents(instance) > 0
				})
			}
			for _, instance := range everyone {
				is.Equal(instance.Status().Configuration.Version, version)
			}
			w.inForce(everyone, w.edit(everyone, reword))
			w.moreAnswers(20)
			w.verify()
		})
	}
}

// Guards against a new instance that serves an older configuration than the
// fleet because of what the configuration service answers.
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
			w.load(2, nil)
			first, everyone := w.fleet.Document(), w.places(all)
			w.edit(everyone, reword)
			version := w.edit(everyone, reword)
			w.inForce(everyone, version)
			w.fleet.Configuration.SetMode(mode(first))
			for place := range 2 { // one that is told by the list, and one that crashes
				if place == 0 {
					w.fleet.Unlist(w.fleet.Instances()[place])
				}
				w.kill(place)
				fresh := w.replace(place)
				w.serving(fresh)
				if got := fresh.Status().Configuration.Version; got != version {
					t.Errorf("instance %s serves version %d, the fleet %d", fresh.ID(), got, version)
				}
			}
			w.moreAnswers(20)
			w.fleet.Configuration.SetMode(standin.Mode{})
			everyone = w.places(all)
			w.inForce(everyone, w.edit(everyone, reword))
			w.verify()
		})
	}
}

// Guards against the loss of survivors' service, of the configuration, or of
// the service's read budget when half of the fleet is replaced during an outage.
func TestHalfReplacedWhileServiceIsDown(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 8, targets: 4})
	w.load(8, nil)
	version := w.edit(w.places(all), reword)
	w.inForce(w.places(all), version)
	w.fleet.Configuration.SetMode(standin.Mode{Down: true})
	reads := countReads(w)
	var fresh []*testbed.Instance
	for place := range 8 {
		if odd(place) {
			w.kill(place)
		}
	}
	w.moreAnswers(100) // by the others
	for place := range 8 {
		if odd(place) {
			fresh = append(fresh, w.replace(place))
		}
	}
	w.serving(fresh...)
	w.inForce(fresh, version)
	w.moreAnswers(100)
	reads(12) // the old and the new ones
	w.fleet.Configuration.SetMode(standin.Mode{})
	w.inForce(w.places(all), w.edit(w.places(all), reword))
	w.verify()
}

// countReads returns a check that so many instances have each read the
// configuration service no more than a few times and twice a second since.
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
