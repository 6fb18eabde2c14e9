package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Timeline gets the events that the filter accepts from every instance. The times
// of the filter refer to the client's clock.
//
// A request to /healthz first measures how far the instance's clock is ahead of
// the client's. The times of the filter are converted to the instance's clock and
// widened by the error bound of the measurement, so that no events are missed
// because of clock differences.
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
		page := timeline.TimedPage{SentAt: c.options.Now()}
		err = c.get(ctx, address, PathTimeline, shifted.Query(), &page.Page, http.StatusOK)
		page.ReceivedAt = c.options.Now()
		return moreAccurate(page, clock), err
	})
}

// measureClock compares an instance's clock with the client's. The returned page
// contains no events.
func (c *Client) measureClock(ctx context.Context, address string) (timeline.TimedPage, *InstanceError) {
	var health Health
	page := timeline.TimedPage{SentAt: c.options.Now()}
	err := c.get(ctx, address, PathHealth, nil, &health, http.StatusOK, http.StatusServiceUnavailable)
	page.ReceivedAt = c.options.Now()
	page.Now = health.Now
	return page, err
}

// moreAccurate returns the page with the clock measurement that has the smaller
// error bound. A page with many events takes longer to transfer than the response
// of /healthz, which makes its measurement less accurate.
func moreAccurate(page, clock timeline.TimedPage) timeline.TimedPage {
	_, bound := page.ClockOffset()
	if _, better := clock.ClockOffset(); better < bound {
		page.SentAt, page.ReceivedAt, page.Now = clock.SentAt, clock.ReceivedAt, clock.Now
	}
	return page
}

func shift(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(by)
}
