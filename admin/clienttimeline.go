package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Timeline asks every instance for the events that the filter accepts. The
// filter's times are on the reader's clock.
//
// An instance's clock is first compared with the reader's by a small call, and
// the filter's times are moved to the instance's clock, widened by the bound of
// the error, so that clocks that disagree hide no events.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) []Response[timeline.TimedPage] {
	return queryAll(ctx, c, func(ctx context.Context, address string) (timeline.TimedPage, *InstanceError) {
		clock, err := c.measureClock(ctx, address)
		if err != nil {
			return clock, err
		}
		ahead, bound := clock.ClockOffset()
		shifted := f
		shifted.From = shift(f.From, ahead-bound)
		shifted.To = shift(f.To, ahead+bound)
		reading := timeline.TimedPage{SentAt: c.options.Now()}
		err = c.get(ctx, address, PathTimeline, shifted.Query(), &reading.Page, http.StatusOK)
		reading.ReceivedAt = c.options.Now()
		return moreAccurate(reading, clock), err
	})
}

// measureClock compares an instance's measureClock with the reader's.
func (c *Client) measureClock(ctx context.Context, address string) (timeline.TimedPage, *InstanceError) {
	var health Health
	reading := timeline.TimedPage{SentAt: c.options.Now()}
	err := c.get(ctx, address, PathHealth, nil, &health, http.StatusOK, http.StatusServiceUnavailable)
	reading.ReceivedAt = c.options.Now()
	reading.Now = health.Now
	return reading, err
}

// moreAccurate gives the reading the comparison of clocks with the smaller error. A
// page with many events takes longer than the small call.
func moreAccurate(reading, clock timeline.TimedPage) timeline.TimedPage {
	_, bound := reading.ClockOffset()
	if _, better := clock.ClockOffset(); better < bound {
		reading.SentAt, reading.ReceivedAt, reading.Now = clock.SentAt, clock.ReceivedAt, clock.Now
	}
	return reading
}

func shift(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(by)
}
