package timeplot

import (
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// MaxMarks is the maximum number of marks in a plot. With more, the labels would be
// unreadable.
const MaxMarks = 40

// mark is a state change, possibly recorded by several instances.
type mark struct {
	// second is the time since the start of the plot, in seconds.
	second float64
	label  string
	// instances is the number of events in the mark, normally one from each instance
	// that recorded the change.
	instances int
}

// groupInterval is the time after a mark within which equal changes are added to it.
const groupInterval = time.Second

// groupMarks returns the newest MaxMarks state changes and the number of older ones
// that are omitted. Events with the same label within groupInterval of the first one
// form a single mark, since several instances usually record the same change.
func groupMarks(events []timeline.Event, s span) (marks []mark, omitted int) {
	latest := make(map[string]int) // index of the newest mark by label
	for i := range events {
		e := &events[i]
		if e.Kind.IsRequestStep() {
			continue
		}
		second, label := e.Time.Sub(s.start).Seconds(), markLabel(e)
		if n, ok := latest[label]; ok && second-marks[n].second <= groupInterval.Seconds() {
			marks[n].instances++
			marks[n].label = label + " (" + strconv.Itoa(marks[n].instances) + " instances)"
			continue
		}
		latest[label] = len(marks)
		marks = append(marks, mark{second: second, label: e.Instance + " " + label, instances: 1})
	}
	omitted = max(0, len(marks)-MaxMarks)
	return marks[omitted:], omitted
}

// markLabel returns the kind of the event with its target, peer and version, if set.
func markLabel(e *timeline.Event) string {
	parts := []string{string(e.Kind)}
	for _, part := range []string{e.Target, e.Peer} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if e.Version > 0 {
		parts = append(parts, strconv.FormatUint(e.Version, 10))
	}
	return strings.Join(parts, " ")
}
