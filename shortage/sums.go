package shortage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SumsHalfLife is the half-life of Sums. An instance sees a few requests a second: over a
// shorter time even the sums of a fleet vary by chance; over a longer one a shortage would
// be seen, and forgotten, too late for requests with objectives of a second.
const SumsHalfLife = 800 * time.Millisecond

const (
	// maxRoutes bounds the routes in Sums, and so the size of a message. Those with most
	// slot time are kept; the others are admitted as if there were no shortage.
	maxRoutes = 16
	// minRequests is the sum of requests below which a route is removed: one request of an
	// instance after ten half-lives.
	minRequests = 1e-3
	// maxSum bounds a sum in a message. An instance that handles 10,000 requests a second
	// has sums of about 12,000.
	maxSum = 2e4
	// minRoom is the sum of the weights of load reports from which fullness is known. One
	// report of a full target says nothing of the others.
	minRoom = 1.5
	// minOwnRoom is the sum of the weights of load reports from which one instance knows
	// better than the fleet: the reports of about half a second. Fewer may have room by
	// chance.
	minOwnRoom = 8
	// maxFullnessWithRoom is the fullness of the targets that one instance asks, by chance
	// and by failure domain different from others, below which it surely finds room.
	maxFullnessWithRoom = 0.6
)

// Sums are exponentially decaying sums over what instances saw of one service: sums of one
// instance, or a mean over several. Only their ratios count.
type Sums struct {
	// Routes is the demand by route, sorted by Key.
	Routes []RouteSums
	// Started is the slot time in seconds that requests were expected to use that were
	// sent to a target for the first time.
	Started float64
	// Refused is that of requests that were refused because they found no room or were
	// turned away.
	Refused float64
	// Room weighs each load report with the speed of its target. Used is the part of it in
	// use, of the requests with which the target has its highest throughput.
	Room, Used float64
}

// RouteSums is the demand of one route for one service. Requests that are refused count.
type RouteSums struct {
	Key  RouteKey
	Rank int
	// Requests counts the requests, SlotTime is the time in seconds that they are expected
	// to use a slot.
	Requests, SlotTime float64
}

// RouteKey identifies a route in messages.
type RouteKey uint32

// KeyOf returns the key of the route with this name.
func KeyOf(route string) RouteKey { return RouteKey(xxhash.Sum64String(route)) }

// Request returns the sums of one request that arrived.
func Request(key RouteKey, rank int, slotTime time.Duration) Sums {
	return Sums{Routes: []RouteSums{{Key: key, Rank: rank, Requests: 1, SlotTime: slotTime.Seconds()}}}
}

// RefusedAfterStart returns the change to the sums if a request that started this long ago,
// and has not run, is refused: its slot time counts as refused instead of started.
func RefusedAfterStart(slotTime, elapsed time.Duration) Sums {
	started := Sums{Started: slotTime.Seconds()}.faded(elapsed)
	return Sums{Started: -started.Started, Refused: slotTime.Seconds()}
}

// combine returns weight times a + b. Where both know a route, it has the rank of b.
func combine(a Sums, weight float64, b Sums) Sums {
	sum := Sums{Started: weight*a.Started + b.Started, Refused: weight*a.Refused + b.Refused, Room: weight*a.Room + b.Room, Used: weight*a.Used + b.Used,
		Routes: make([]RouteSums, 0, max(len(a.Routes), len(b.Routes)))}
	for i, j := 0, 0; i < len(a.Routes) || j < len(b.Routes); {
		var r RouteSums
		order := 0
		switch {
		case i == len(a.Routes):
			order = 1
		case j == len(b.Routes):
			order = -1
		default:
			order = cmp.Compare(a.Routes[i].Key, b.Routes[j].Key)
		}
		if order <= 0 {
			r = a.Routes[i]
			r.Requests *= weight
			r.SlotTime *= weight
			i++
		}
		if order >= 0 {
			added := b.Routes[j]
			r = RouteSums{Key: added.Key, Rank: added.Rank, Requests: r.Requests + added.Requests, SlotTime: r.SlotTime + added.SlotTime}
			j++
		}
		sum.Routes = append(sum.Routes, r)
	}
	return sum
}

// scaled returns the sums times x, without routes whose requests are then below
// minRequests.
func (s Sums) scaled(x float64) Sums {
	sum := combine(s, x, Sums{})
	sum.Routes = slices.DeleteFunc(sum.Routes, func(r RouteSums) bool { return r.Requests < minRequests })
	return sum
}

// withMaxRoutes removes the routes with least slot time beyond maxRoutes. It modifies s.
func (s Sums) withMaxRoutes() Sums {
	if len(s.Routes) > maxRoutes {
		slices.SortFunc(s.Routes, func(a, b RouteSums) int {
			return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Key, b.Key))
		})
		s.Routes = s.Routes[:maxRoutes]
		slices.SortFunc(s.Routes, func(a, b RouteSums) int { return cmp.Compare(a.Key, b.Key) })
	}
	return s
}

// Plus returns the sum of both.
func (s Sums) Plus(other Sums) Sums { return combine(s, 1, other).withMaxRoutes() }

// mean returns the mean of both. A route's rank is that of s, which has the
// configuration in force at this instance, if both know it.
func (s Sums) mean(other Sums) Sums { return combine(other, 1, s).scaled(0.5).withMaxRoutes() }

// faded returns the sums after the elapsed time.
func (s Sums) faded(elapsed time.Duration) Sums {
	return s.scaled(math.Exp2(-max(0, elapsed).Seconds() / SumsHalfLife.Seconds()))
}

// fullness returns the part of the room that is in use, or 0 with too few reports.
func (s Sums) fullness() float64 {
	if s.Room < minRoom {
		return 0
	}
	return s.Used / s.Room
}

// HasRoom reports whether the targets that reported to one instance clearly have room.
func (s Sums) HasRoom() bool { return s.Room >= minOwnRoom && s.fullness() < maxFullnessWithRoom }

// SlotTime returns the expected slot time of all requests in seconds.
func (s Sums) SlotTime() float64 {
	total := 0.0
	for _, r := range s.Routes {
		total += r.SlotTime
	}
	return total
}

// Valid reports whether the sums of a message are plausible.
func (s Sums) Valid() bool {
	plausible := func(list ...float64) bool {
		return !slices.ContainsFunc(list, func(x float64) bool { return !(x >= 0 && x <= maxSum) })
	}
	if len(s.Routes) > maxRoutes || !plausible(s.Started, s.Refused, s.Room, s.Used) || s.Used > s.Room {
		return false
	}
	for i, r := range s.Routes {
		if !plausible(r.Requests, r.SlotTime) || i > 0 && r.Key <= s.Routes[i-1].Key {
			return false
		}
	}
	return true
}
