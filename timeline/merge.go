package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Page is one instance's answer to a reader.
type Page struct {
	Instance string `json:"instance"`
	// Now is the instance's wall clock when it answered.
	Now time.Time `json:"now"`
	// Lost counts events that the ring has dropped since the start.
	Lost uint64 `json:"lost"`
	// Omitted counts older events that the filter accepts and that the bound of
	// one answer left out.
	Omitted uint64  `json:"left_out"`
	Events  []Event `json:"events"`
}

// TimedPage is a page with the reader's own clock around it.
type TimedPage struct {
	Page
	// SentAt and ReceivedAt are the reader's clock before and after the call.
	SentAt, ReceivedAt time.Time
}

// ClockOffset returns how far the instance's clock is ahead of the reader's, and
// the bound of the error of that estimate.
func (r TimedPage) ClockOffset() (ahead, bound time.Duration) {
	bound = r.ReceivedAt.Sub(r.SentAt) / 2
	return r.Now.Sub(r.SentAt.Add(bound)), bound
}

// Merged is one line over many instances.
type Merged struct {
	// Events are in order of the reader's clock.
	Events []Event `json:"events"`
	// ErrorBound is the largest error of the time of an event. The order of two
	// events of different instances is certain when they are more than twice
	// this apart.
	ErrorBound time.Duration `json:"error_bound_ns"`
	// Lost counts events that rings have dropped.
	Lost uint64 `json:"lost"`
	// Omitted counts older events that instances left out of their answers.
	Omitted uint64 `json:"left_out"`
}

// Merge puts all events on the reader's clock and in order. Events of one
// incarnation stay in the order in which they were recorded.
func Merge(pages []TimedPage) Merged {
	var merged Merged
	for _, page := range pages {
		ahead, bound := page.ClockOffset()
		merged.ErrorBound = max(merged.ErrorBound, bound)
		merged.Lost += page.Lost
		merged.Omitted += page.Omitted
		var previous time.Time
		for _, e := range page.Events {
			e.Time = e.Time.Add(-ahead)
			if e.Time.Before(previous) { // two goroutines recorded at the same time
				e.Time = previous
			}
			previous = e.Time
			merged.Events = append(merged.Events, e)
		}
	}
	slices.SortStableFunc(merged.Events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Sequence, b.Sequence))
	})
	return merged
}
