package shortage

import (
	"cmp"
	"slices"
)

const (
	// shortFullness and fullFullness bound the range of fullness in which a cut-off comes
	// into force. Below, a request that asks a few targets finds room at one of them; above,
	// almost none does.
	shortFullness = 0.8
	fullFullness  = 0.9
	// minShare is the least share of a route's requests that is admitted, as a part of
	// the share of all. No kind of request may be served less than a quarter as often as
	// all, and some that are admitted find no room.
	minShare = 0.3
	// minLevel is the part of the demand below which nothing is turned away: so little
	// waits for room that comes in time.
	minLevel = 0.03
	// maxLevel bounds the part of the demand that is turned away. What still starts shows
	// when there is room again, also where figures are wrong.
	maxLevel = 0.95
	// similarSlotTime is the ratio up to which two mean slot times count as the same.
	// Means of different instances differ a little while they are exchanged, and routes of
	// about the same cost need no order.
	similarSlotTime = 1.25
	// minDemandShare is the share of the demand below which a route has no place in the
	// order. What it would give up makes no room, and a few stray requests of one route
	// must not cause another to be turned away.
	minDemandShare = 0.01
)

// Cutoff is which requests for a service are turned away. The zero value turns none away.
type Cutoff struct {
	// Level is the part of the expected slot time of all requests that is turned away.
	Level float64
	// shares is the admitted share of each route's requests, from the first in the order
	// to the last.
	shares []routeShare
}

// routeShare is the admitted share of a route's requests.
type routeShare struct {
	key   RouteKey
	rank  int
	share float64
}

// NewCutoff returns the cut-off for a service with these sums. Room goes to routes by rank,
// 0 first, and within a rank to those whose requests use less slot time first, so that it
// serves more callers. Routes of the same rank and about the same slot time share it. A
// service with a single such group gets no cut-off: there is nothing to choose.
func NewCutoff(s Sums) Cutoff {
	demand := s.SlotTime()
	if demand == 0 || s.Refused == 0 {
		return Cutoff{}
	}
	inForce := min(1, max(0, (s.fullness()-shortFullness)/(fullFullness-shortFullness)))
	level := min(maxLevel, inForce*s.Refused/(s.Started+s.Refused))
	groups := groupsOf(s.Routes, minDemandShare*demand)
	if level < minLevel || len(groups) < 2 {
		return Cutoff{}
	}
	c := Cutoff{Level: level}
	least := minShare * (1 - level)
	left := (1 - level - least) * demand // beyond the least share of all
	for _, g := range groups {
		need := 0.0
		for _, r := range g {
			need += (1 - least) * r.SlotTime
		}
		share := 1.0
		if need > left {
			share = least + (1-least)*left/need
		}
		left = max(0, left-need)
		for _, r := range g {
			c.shares = append(c.shares, routeShare{key: r.Key, rank: r.Rank, share: share})
		}
	}
	return c
}

// groupsOf returns the routes with at least this slot time in their order, those that share
// room together.
func groupsOf(routes []RouteSums, minSlotTime float64) [][]RouteSums {
	list := slices.Clone(routes)
	list = slices.DeleteFunc(list, func(r RouteSums) bool { return r.Requests == 0 || r.SlotTime == 0 || r.SlotTime < minSlotTime })
	slices.SortFunc(list, func(a, b RouteSums) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.meanSlotTime(), b.meanSlotTime()), cmp.Compare(a.Key, b.Key))
	})
	var groups [][]RouteSums
	for _, r := range list {
		if n := len(groups); n > 0 && groups[n-1][0].Rank == r.Rank && r.meanSlotTime() <= similarSlotTime*groups[n-1][0].meanSlotTime() {
			groups[n-1] = append(groups[n-1], r)
		} else {
			groups = append(groups, []RouteSums{r})
		}
	}
	return groups
}

func (r RouteSums) meanSlotTime() float64 { return r.SlotTime / r.Requests }

// Share returns the share of a route's requests that is admitted.
func (c Cutoff) Share(key RouteKey) float64 {
	for _, s := range c.shares {
		if s.key == key {
			return s.share
		}
	}
	return 1
}

// Rank returns the most urgent rank of which requests are turned away. ok is false if none
// are.
func (c Cutoff) Rank() (rank int, ok bool) {
	for _, s := range c.shares {
		if s.share < 1 {
			return s.rank, true
		}
	}
	return 0, false
}
