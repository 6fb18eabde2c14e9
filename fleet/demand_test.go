package fleet

import (
	"log/slog"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// Guards against figures of a peer that are lost or changed on the way, and against
// implausible ones that are taken over.
func TestDemandIsExchanged(t *testing.T) {
	is := is.New(t)
	task := func(last byte) *Task {
		return New(Options{IP: netip.AddrFrom4([4]byte{127, 0, 0, last}), Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
	}
	a, b := task(1), task(2)
	seen := shortage.Request(1, 0, time.Second).Plus(shortage.Request(2, 1, time.Second))
	seen.Started, seen.Room, seen.Used = 0.5, 4, 4
	a.demand.Add(0, "s", seen)
	request := &peerapi.FleetState{Self: memberMessage(a.roster.self)}
	sent := a.putDemand(0, request, nil)
	request.Demand = append(request.Demand, &peerapi.FleetDemand{Service: "wrong", Started: float32(math.NaN())})
	received := b.averageDemand(0, request)
	answer := &peerapi.FleetState{Self: memberMessage(b.roster.self)}
	b.putDemand(0, answer, received)
	a.adoptDemand(0, sent, answer)
	for _, of := range []*Task{a, b} {
		list := *of.Demand()
		is.Equal(len(list), 1)
		is.Equal(list[0].Sums.Used, 2.0)
		is.Equal(list[0].Sums.Routes, []shortage.RouteSums{{Key: 1, Requests: 0.5, SlotTime: 0.5}, {Key: 2, Rank: 1, Requests: 0.5, SlotTime: 0.5}})
	}
}
