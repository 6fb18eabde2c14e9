package timeplot

import (
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// MaxMarks bounds the marks of a drawing, so that their labels stay readable.
const MaxMarks = 40

// mark is one change of state.
type mark struct {
	// second is the time from the start of the drawing, in seconds.
	second float64
	label  string
	// instances counts those that recorded the change.
	instances int
}

// groupInterval is the time within which several instances record the same change.
const groupInterval = time.Second

// groupMarks returns the newest changes of state and the number left out. A change
// that several instances saw at about the same time is one mark.
func groupMarks(events []timeline.Event, s span) (marks []mark, omitted int) {
	latest := make(map[string]int) // position of the newest mark of a change
	for i := range events {
		e := &events[i]
		if e.Kind.IsRequestStep() {
			continue
		}
		second, what := e.Time.Sub(s.start).Seconds(), markLabel(e)
		if n, ok := latest[what]; ok && second-marks[n].second <= groupInterval.Seconds() {
			marks[n].instances++
			marks[n].label = what + " (" + strconv.Itoa(marks[n].instances) + " instances)"
			continue
		}
		latest[what] = len(marks)
		marks = append(marks, mark{second: second, label: e.Instance + " " + what, instances: 1})
	}
	omitted = max(0, len(marks)-MaxMarks)
	return marks[omitted:], omitted
}

// markLabel names the event and its peer, target or version.
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
