package admission

import "time"

// ExpectedWait returns the time that an item offered now is expected to wait in the
// queue, at most an hour: the work ahead of it divided by the slots that process
// it. Slots kept busy by higher priorities do not count, so that lower priorities
// are refused first. longShare is the number of long requests that may be in
// flight.
func (c *Controller) ExpectedWait(now time.Duration, i *Item, longShare int) time.Duration {
	ahead := c.workAhead(now, i)
	if !c.Window.HasRoom() {
		ahead += float64(c.serviceTimes[i.Lane].Mean(now))
	}
	if ahead == 0 {
		return 0
	}
	limit := c.Window.Limit()
	drainSlots := max(limit*minPriorityShare, limit-c.offeredLoad.above(now, i.Rank))
	if i.Lane == LaneLong {
		drainSlots = min(drainSlots, max(minPriorityShare, float64(longShare)))
	}
	return time.Duration(min(ahead/drainSlots, float64(time.Hour)))
}

// workAhead returns the service time, in nanoseconds, of all queued items that go
// before the item.
func (c *Controller) workAhead(now time.Duration, i *Item) float64 {
	var items [Lanes]int
	for rank := range i.Rank + 1 {
		items[LaneShort] += c.Queue.lists[rank][LaneShort].Len()
		if rank < i.Rank || i.Lane == LaneLong {
			items[LaneLong] += c.Queue.lists[rank][LaneLong].Len()
		}
	}
	return float64(items[LaneShort])*float64(c.serviceTimes[LaneShort].Mean(now)) +
		float64(items[LaneLong])*float64(c.serviceTimes[LaneLong].Mean(now))
}
