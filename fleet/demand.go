package fleet

import (
	"math"
	"net/netip"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// maxServiceName bounds the name of a service in the figures of a peer, which are kept for
// a while, in bytes.
const maxServiceName = 256

// ReportDemand adds what this instance saw of the demand for services and of their room to
// the figures of the fleet. take returns what it saw since the last call of take; it is not
// called while the last figures wait for a task that is busy, so that at most one goroutine
// waits and later figures are kept by their owner. ReportDemand never blocks.
func (t *Task) ReportDemand(take func() []shortage.Entry) {
	if !t.demandQueued.CompareAndSwap(false, true) {
		return
	}
	list := take()
	if len(list) == 0 {
		t.demandQueued.Store(false)
		return
	}
	go t.loop.Post(func(now time.Duration) {
		t.demandQueued.Store(false)
		for _, e := range list {
			t.demand.Add(now, e.Service, e.Sums)
		}
		t.publishDemand()
	})
}

// Demand returns the figures of the fleet, a new slice after each change, or nil if there
// are none.
func (t *Task) Demand() *[]shortage.Entry { return t.publishedDemand.Load() }

func (t *Task) publishDemand() {
	list := t.demand.Entries()
	t.publishedDemand.Store(&list)
}

// startDemand adds the figures with which to start an exchange to a state, and returns them.
func (t *Task) startDemand(now time.Duration, s *peerapi.FleetState) []shortage.Entry {
	list := t.demand.ToSend(now)
	putDemand(s, list)
	return list
}

// answerDemand adds the figures with which to answer a peer that has sent these to a state.
// isNew tells that the peer was unknown or has restarted.
func (t *Task) answerDemand(now time.Duration, s *peerapi.FleetState, received []shortage.Entry, isNew bool) {
	putDemand(s, t.demand.Answer(now, received, isNew))
}

func putDemand(s *peerapi.FleetState, list []shortage.Entry) {
	for _, e := range list {
		s.Demand = append(s.Demand, demandMessage(e))
	}
}

// averageDemand merges the figures of a peer that has started an exchange, and returns them.
func (t *Task) averageDemand(now time.Duration, s *peerapi.FleetState) []shortage.Entry {
	received := t.demandFromMessage(now, s)
	if len(received) > 0 {
		t.demand.Average(now, received)
		t.publishDemand()
	}
	return received
}

// adoptDemand merges the answer of a peer to an exchange that sent these figures.
func (t *Task) adoptDemand(now time.Duration, sent []shortage.Entry, s *peerapi.FleetState) {
	if answer := t.demandFromMessage(now, s); len(answer) > 0 {
		t.demand.Adopt(now, sent, answer)
		t.publishDemand()
	}
}

func demandMessage(e shortage.Entry) *peerapi.FleetDemand {
	m := &peerapi.FleetDemand{Service: e.Service, Started: float32(e.Sums.Started), Refused: float32(e.Sums.Refused), Room: float32(e.Sums.Room), Used: float32(e.Sums.Used)}
	for _, r := range e.Sums.Routes {
		m.Routes = append(m.Routes, &peerapi.FleetRouteDemand{Route: uint32(r.Key), Rank: uint32(r.Rank),
			Requests: float32(r.Requests), SlotTime: float32(r.SlotTime)})
	}
	return m
}

// demandFromMessage returns the figures in a state. It leaves out those that are not
// plausible, and all beyond shortage.MaxServices.
func (t *Task) demandFromMessage(now time.Duration, s *peerapi.FleetState) []shortage.Entry {
	if s.GetSelf() == nil {
		return nil
	}
	received := s.GetDemand()
	list := make([]shortage.Entry, 0, min(len(received), shortage.MaxServices))
	for _, m := range received[:min(len(received), shortage.MaxServices)] {
		if e := demandEntryFromMessage(now, m); len(e.Service) <= maxServiceName && e.Sums.Valid() {
			list = append(list, e)
		}
	}
	if len(received) > 0 {
		t.countImplausibleDemand(addressFromNumber(s.GetSelf().GetIp()), len(received)-len(list))
	}
	return list
}

func demandEntryFromMessage(now time.Duration, m *peerapi.FleetDemand) shortage.Entry {
	e := shortage.Entry{Service: m.GetService(), At: now, Sums: shortage.Sums{Started: float64(m.GetStarted()), Refused: float64(m.GetRefused()),
		Room: float64(m.GetRoom()), Used: float64(m.GetUsed())}}
	for _, r := range m.GetRoutes() {
		e.Sums.Routes = append(e.Sums.Routes, shortage.RouteSums{Key: shortage.RouteKey(r.GetRoute()),
			Rank: int(min(r.GetRank(), math.MaxInt32)), Requests: float64(r.GetRequests()), SlotTime: float64(r.GetSlotTime())})
	}
	return e
}

// countImplausibleDemand counts n implausible figures in a message of a peer, and logs if
// the peer has begun to send some, or sends none any more.
func (t *Task) countImplausibleDemand(from netip.Addr, n int) {
	if n > 0 && t.options.OnImplausibleDemand != nil {
		t.options.OnImplausibleDemand(n)
	}
	p := t.roster.peers[from]
	if p == nil || p.implausibleDemand == (n > 0) {
		return
	}
	p.implausibleDemand = n > 0
	if n > 0 {
		t.options.Log.Warn("implausible demand from peer, ignored", "peer", from.String(), "services", n)
	} else {
		t.options.Log.Info("demand from peer is plausible again", "peer", from.String())
	}
}
