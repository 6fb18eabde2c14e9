package admission

import "time"

// ExpectedWait returns the time after which an item offered now can expect its turn:
// the work ahead of it, divided by the slots that drain it. Slots kept busy by
// higher priorities do not count, so that lower priorities are refused first.
func (c *Controller) ExpectedWait(now time.Duration, i *Item, longShare int) time.Duration {
	ahead := c.ahead(now, i)
	if !c.Window.HasRoom() {
		ahead += float64(c.service[i.Lane].Mean(now))
	}
	if ahead == 0 {
		return 0
	}
	limit := c.Window.Limit()
	drain := max(limit*minDrainShare, limit-c.offered.above(now, i.Rank))
	if i.Lane == LaneLong {
		drain = min(drain, max(minDrainShare, float64(longShare)))
	}
	return time.Duration(min(ahead/drain, float64(time.Hour)))
}

// ahead returns the slot time, in nanoseconds, of the items that go first.
func (c *Controller) ahead(now time.Duration, i *Item) float64 {
	var items [Lanes]int
	for rank := range i.Rank + 1 {
		items[LaneShort] += c.Queue.lists[rank][LaneShort].Len()
		if rank < i.Rank || i.Lane == LaneLong {
			items[LaneLong] += c.Queue.lists[rank][LaneLong].Len()
		}
	}
	return float64(items[LaneShort])*float64(c.service[LaneShort].Mean(now)) +
		float64(items[LaneLong])*float64(c.service[LaneLong].Mean(now))
}
