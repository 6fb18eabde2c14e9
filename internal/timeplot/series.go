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

// maxSpan bounds the time that is drawn, so that an event with a wrong time
// does not fill memory with empty seconds.
const maxSpan = 24 * time.Hour

// series is a rate over time.
type series struct {
	name string
	// perSecond holds one count for each second from the start.
	perSecond []int
}

// span is the range of whole seconds that holds all events.
type span struct {
	start   time.Time
	seconds int
}

// recentEvents returns the events of the last maxSpan.
func recentEvents(events []timeline.Event) []timeline.Event {
	oldest := events[len(events)-1].Time.Add(-maxSpan)
	first, _ := slices.BinarySearchFunc(events, oldest, func(e timeline.Event, at time.Time) int { return e.Time.Compare(at) })
	return events[first:]
}

func eventSpan(events []timeline.Event) span {
	start := events[0].Time.Truncate(time.Second)
	return span{start: start, seconds: int(events[len(events)-1].Time.Sub(start)/time.Second) + 1}
}

func (s span) second(at time.Time) int { return int(at.Sub(s.start) / time.Second) }

// countPerSecond returns the requests and then the refusals by kind, in order of kind.
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
	for _, one := range refusals {
		list = append(list, *one)
	}
	slices.SortFunc(list[1:], func(a, b series) int { return cmp.Compare(a.name, b.name) })
	return list
}

// refusalKind returns the refusal kind with which a detail begins.
func refusalKind(detail string) string {
	kind, _, _ := strings.Cut(detail, " ")
	if kind = strings.TrimRight(kind, ":;,"); kind == "" {
		return "unknown"
	}
	return kind
}
