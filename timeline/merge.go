package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Page is the response of one instance to a reader of its time line.
type Page struct {
	Instance string `json:"instance"`
	// Now is the instance's wall clock when it sent the response.
	Now time.Time `json:"now"`
	// Lost counts events that newer ones have overwritten since the start.
	Lost uint64 `json:"lost"`
	// Omitted counts older events that the filter accepts but that exceed the
	// maximum number of events in one response.
	Omitted uint64  `json:"left_out"`
	Events  []Event `json:"events"`
}

// TimedPage is a page with the reader's clock before and after the call.
type TimedPage struct {
	Page
	// SentAt and ReceivedAt are the reader's clock before and after the call.
	SentAt, ReceivedAt time.Time
}

// ClockOffset returns the estimate of how far the instance's clock is ahead of the
// reader's, and the error bound of the estimate.
func (r TimedPage) ClockOffset() (ahead, bound time.Duration) {
	bound = r.ReceivedAt.Sub(r.SentAt) / 2
	return r.Now.Sub(r.SentAt.Add(bound)), bound
}

// Merged is the merged time line of several instances.
type Merged struct {
	// Events are ordered by time, on the reader's clock.
	Events []Event `json:"events"`
	// ErrorBound is the maximum error of event times. The order of two events of
	// different instances is certain if their times differ by more than twice the
	// bound.
	ErrorBound time.Duration `json:"error_bound_ns"`
	// Lost counts events that newer ones have overwritten on the instances.
	Lost uint64 `json:"lost"`
	// Omitted counts older events that instances omitted from their responses.
	Omitted uint64 `json:"left_out"`
}

// Merge converts event times to the reader's clock and sorts all events by time.
// Events of one incarnation keep the order in which they were recorded.
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
			if e.Time.Before(previous) { // concurrent recorders may read the clock in another order than their sequence numbers
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
