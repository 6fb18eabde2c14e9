package timeline_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against request steps that overwrite state changes.
func TestStateSurvivesLoad(t *testing.T) {
	is := is.New(t)
	r := timeline.NewRecorder(timeline.Options{Instance: "a", StateEvents: 2, RequestEvents: 8})
	r.RecordState(timeline.Event{Kind: timeline.InstanceStarted})
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 100 {
				r.RecordRequest(timeline.Event{Kind: timeline.RequestSent, Request: "x"})
			}
		})
	}
	writers.Wait()
	is.Equal(len(r.Select(timeline.Filter{})), 9)
	is.Equal(len(r.Select(timeline.Filter{StateOnly: true})), 1)
	is.Equal(len(r.Select(timeline.Filter{Request: "x"})), 8)
	is.Equal(r.Lost(), uint64(392))
}

// Guards against a merged time line that is ordered by the unconverted clocks of
// the instances: b's clock is one hour ahead, but its event happened between those
// of a.
func TestMergeCorrectsClocks(t *testing.T) {
	is := is.New(t)
	event := func(instance string, at time.Time, sequence uint64) timeline.Event {
		return timeline.Event{Instance: instance, Time: at, Sequence: sequence}
	}
	ahead := base.Add(time.Hour)
	merged := timeline.Merge([]timeline.TimedPage{
		{SentAt: base.Add(10 * time.Second), ReceivedAt: base.Add(10*time.Second + 4*time.Millisecond),
			Page: timeline.Page{Now: base.Add(10*time.Second + 2*time.Millisecond), Lost: 3,
				Events: []timeline.Event{event("a", base, 1), event("a", base.Add(2*time.Second), 2)}}},
		{SentAt: base.Add(10 * time.Second), ReceivedAt: base.Add(10*time.Second + 6*time.Millisecond),
			Page: timeline.Page{Now: ahead.Add(10*time.Second + 3*time.Millisecond),
				Events: []timeline.Event{event("b", ahead.Add(time.Second), 1)}}},
	})
	var order []string
	for _, e := range merged.Events {
		order = append(order, e.Instance)
	}
	is.Equal(order, []string{"a", "b", "a"})
	is.Equal(merged.ErrorBound, 3*time.Millisecond)
	is.Equal(merged.Lost, uint64(3))
}

// Guards against a filter that changes when it is sent from a client to an instance,
// and against a malformed time that is accepted.
func TestFilterQuery(t *testing.T) {
	is := is.New(t)
	f := timeline.Filter{Request: "r", From: base, To: base.Add(time.Second), StateOnly: true}
	decoded, err := timeline.ParseQuery(f.Query())
	is.NoErr(err)
	is.Equal(decoded, f)
	_, err = timeline.ParseQuery(map[string][]string{"from": {"noon"}})
	is.True(err != nil)
}
