package timeplot

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// requestsSeries is the name of the series of received requests.
const requestsSeries = "requests"

// maxSpan limits the time that is drawn. Without a limit, an event with a wrong time
// could require memory for a very large number of empty seconds.
const maxSpan = 24 * time.Hour

// series is a named rate over time.
type series struct {
	name string
	// perSecond contains one count for each second since the start of the plot.
	perSecond []int
}

// span is the range of whole seconds that contains all events.
type span struct {
	start   time.Time
	seconds int
}

// recentEvents returns the events that are at most maxSpan older than the newest one.
// The events must be ordered by time, and there must be at least one.
func recentEvents(events []timeline.Event) []timeline.Event {
	oldest := events[len(events)-1].Time.Add(-maxSpan)
	first, _ := slices.BinarySearchFunc(events, oldest, func(e timeline.Event, at time.Time) int { return e.Time.Compare(at) })
	return events[first:]
}

// eventSpan returns the span of events ordered by time, of which there must be at
// least one.
func eventSpan(events []timeline.Event) span {
	start := events[0].Time.Truncate(time.Second)
	return span{start: start, seconds: int(events[len(events)-1].Time.Sub(start)/time.Second) + 1}
}

// second returns the index of the second that contains the given time.
func (s span) second(at time.Time) int { return int(at.Sub(s.start) / time.Second) }

// countPerSecond returns the rate of received requests, followed by the rates of
// refusals, ordered by their kind.
func countPerSecond(events []timeline.Event, s span) []series {
	requests := series{name: requestsSeries, perSecond: make([]int, s.seconds)}
	refusals := make(map[string]*series)
	for i := range events {
		switch e := &events[i]; e.Kind {
		case timeline.RequestReceived:
			requests.perSecond[s.second(e.Time)]++
		case timeline.RequestRefused:
			kind := refusalKind(e.Detail)
			if refusals[kind] == nil {
				refusals[kind] = &series{name: "refused: " + kind, perSecond: make([]int, s.seconds)}
			}
			refusals[kind].perSecond[s.second(e.Time)]++
		}
	}
	list := []series{requests}
	for _, refused := range refusals {
		list = append(list, *refused)
	}
	slices.SortFunc(list[1:], func(a, b series) int { return cmp.Compare(a.name, b.name) })
	return list
}

// refusalKind returns the refusal kind with which the detail of an event begins, or
// "unknown" if it is empty.
func refusalKind(detail string) string {
	kind, _, _ := strings.Cut(detail, " ")
	if kind = strings.TrimRight(kind, ":;,"); kind == "" {
		return "unknown"
	}
	return kind
}
