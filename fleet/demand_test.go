package fleet

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"net/netip"
	"strconv"
	"strings"
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
	sent := a.startDemand(0, request)
	request.Demand = append(request.Demand, &peerapi.FleetDemand{Service: "wrong", Started: float32(math.NaN())})
	received := b.averageDemand(0, request)
	answer := &peerapi.FleetState{Self: memberMessage(b.roster.self)}
	b.answerDemand(0, answer, received, false)
	a.adoptDemand(0, sent, answer)
	for _, of := range []*Task{a, b} {
		list := *of.Demand()
		is.Equal(len(list), 1)
		is.Equal(list[0].Sums.Used, 2.0)
		is.Equal(list[0].Sums.Routes, []shortage.RouteSums{{Key: 1, Requests: 0.5, SlotTime: 0.5}, {Key: 2, Rank: 1, Requests: 0.5, SlotTime: 0.5}})
	}
}

// Guards against an answer with services that the sender has not named, of which it alone
// would take the mean, and against a sender that is new and gets no figures.
func TestAnswerHoldsNamedServices(t *testing.T) {
	is := is.New(t)
	task := New(Options{IP: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
	full := shortage.Request(1, 0, time.Second).Plus(shortage.Request(2, 1, time.Second))
	full.Room, full.Used = 4, 4
	for _, service := range []string{"a", "b"} {
		task.demand.Add(0, service, full)
	}
	for _, c := range []struct {
		isNew bool
		want  int
	}{{false, 1}, {true, 2}} {
		answer := new(peerapi.FleetState)
		task.answerDemand(0, answer, []shortage.Entry{{Service: "a"}}, c.isNew)
		is.Equal(len(answer.GetDemand()), c.want)
		is.Equal(answer.GetDemand()[0].GetService(), "a")
	}
}

// Guards against figures that pile up, each with a goroutine, while the task is busy, and
// against some that are lost then.
func TestReportDemandWaitsForTheTask(t *testing.T) {
	is := is.New(t)
	task := New(Options{IP: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
	taken, seen := 0, 0.0
	report := func() {
		seen++
		task.ReportDemand(func() []shortage.Entry {
			list := []shortage.Entry{{Service: "s", Sums: shortage.Sums{Started: seen}}}
			seen = 0
			taken++
			return list
		})
	}
	for range 100 { // the task does not run yet
		report()
	}
	is.Equal(taken, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); <-task.loop.Done() }()
	go task.loop.Run(ctx, time.Hour, func(time.Duration) {})
	for task.demandQueued.Load() {
		time.Sleep(time.Millisecond)
	}
	report()
	is.Equal(taken, 2)
	for task.Demand() == nil || (*task.Demand())[0].Sums.Started < 101 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a message with more figures than are kept, against implausible ones that
// go unnoticed, and against a log line for each message.
func TestImplausibleDemandIsCounted(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	ignored := 0
	task := New(Options{IP: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Log: slog.New(slog.NewTextHandler(&logged, nil)), Now: func() time.Duration { return 0 },
		OnImplausibleDemand: func(n int) { ignored += n }})
	peer := Member{IP: netip.AddrFrom4([4]byte{127, 0, 0, 2}), Incarnation: 1}
	message := &peerapi.FleetState{Self: memberMessage(peer)}
	task.merge(0, message)
	for i := range shortage.MaxServices + 5 {
		message.Demand = append(message.Demand, &peerapi.FleetDemand{Service: strconv.Itoa(i)})
	}
	message.Demand[0].Used = 1 // above Room
	for range 10 {
		is.Equal(len(task.averageDemand(0, message)), shortage.MaxServices-1)
	}
	is.Equal(ignored, 60)
	is.Equal(strings.Count(logged.String(), "implausible demand"), 1)
	task.averageDemand(0, &peerapi.FleetState{Self: message.Self}) // says nothing
	message.Demand = message.Demand[1:2]
	task.averageDemand(0, message)
	is.Equal(strings.Count(logged.String(), "plausible again"), 1)
}

// Guards against a peer of an older build, which neither reads nor sends figures, and by
// which those of this instance would be lost or halved.
func TestPeerWithoutDemandChangesNothing(t *testing.T) {
	is := is.New(t)
	ignored := 0
	task := New(Options{IP: netip.AddrFrom4([4]byte{127, 0, 0, 1}), Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 },
		OnImplausibleDemand: func(n int) { ignored += n }})
	full := shortage.Request(1, 0, time.Second).Plus(shortage.Request(2, 1, time.Second))
	full.Room, full.Used = 4, 4
	task.demand.Add(0, "s", full)
	old := &peerapi.FleetState{Self: memberMessage(Member{IP: netip.AddrFrom4([4]byte{127, 0, 0, 2}), Incarnation: 1})}
	sent := task.startDemand(0, new(peerapi.FleetState))
	is.Equal(len(sent), 1)
	task.adoptDemand(0, sent, old)               // it answers
	is.Equal(len(task.averageDemand(0, old)), 0) // it starts an exchange
	task.adoptDemand(0, sent, nil)               // an empty answer
	is.Equal(task.demand.Sums(0, "s"), full)
	is.Equal(ignored, 0)
}
