package fleet

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// anyTarget decodes each record as a target of that name.
type anyTarget struct{}

func (anyTarget) Decode(key string, value []byte) (catalog.Entry, error) {
	return catalog.Entry{Target: &catalog.Target{ID: key, Service: string(value)}}, nil
}

// loopback maps an address of a message to a loopback address, since the task may
// contact it.
func loopback(number uint32) uint32 { return 127<<24 | number&(1<<24-1) }

// Guards against a message of a peer that takes the process down: an instance must
// answer any exchange, and the next one. Bytes that are no message are rejected by
// gRPC before they reach this code.
func FuzzExchange(f *testing.F) {
	self := netip.MustParseAddr("127.0.0.1")
	packed, err := pack(&peerapi.FleetRecords{Records: []*peerapi.FleetRecord{{Key: "t", Value: []byte("s"), Revision: 1 << 63}}})
	if err != nil {
		f.Fatal(err)
	}
	member := &peerapi.FleetMember{Ip: numberFromAddress(self) + 1, Incarnation: 1, Heartbeat: 1<<32 - 1, Domain: 1 << 31, Flags: 1<<32 - 1}
	for _, state := range []*peerapi.FleetState{
		{},
		{Self: member, Members: []*peerapi.FleetMember{member, {Ip: numberFromAddress(self), Incarnation: 7, Heartbeat: 1 << 31, Flags: 1<<32 - 1}}},
		{Self: member, Revision: 1<<64 - 1, HasChanges: true, Full: true, Changes: []*peerapi.FleetRecord{{Key: "t", Revision: 1<<64 - 1, Deleted: true}, {}}},
		{Self: member, Era: 1<<64 - 1, Revision: 1, HasChanges: true, Full: true, Changes: []*peerapi.FleetRecord{{Key: "t", Revision: 2}}},
		{Self: member, ConfigVersion: proto.Int64(-1 << 63), Config: &peerapi.FleetRecord{Key: "c", Value: []byte("s")}},
		{Self: member, HasChanges: true, ChangesAfter: 1<<64 - 1, PackedChanges: packed, Relay: []uint32{0, 1<<32 - 1}},
		{Self: member, HasChanges: true, PackedChanges: packed[:len(packed)/2]},
		{Strikes: []*peerapi.FleetStrike{{}, {Request: make([]byte, 16), AgeMs: 1<<32 - 1}}},
		{Self: member, Strikes: []*peerapi.FleetStrike{{Request: make([]byte, 16)}}, StrikesDigest: proto.Uint64(1), KnownStrikes: &peerapi.FleetStrikeIDs{Ids: []uint64{0, 7}}},
		{Self: member, Demand: []*peerapi.FleetDemand{{Service: "s", Room: float32(math.NaN())}, {Service: "s", Used: 3, Room: 3,
			Routes: []*peerapi.FleetRouteDemand{{Route: 1, Rank: 1<<32 - 1, Requests: 1, SlotTime: 1}, {Route: 2, Requests: 1}}}}},
	} {
		wire, err := proto.Marshal(state)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(wire)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	f.Fuzz(func(_ *testing.T, wire []byte) {
		var state peerapi.FleetState
		if proto.Unmarshal(wire, &state) != nil {
			return
		}
		if state.GetSelf() != nil {
			state.Self.Ip = loopback(state.Self.Ip)
		}
		for _, m := range state.GetMembers() {
			m.Ip = loopback(m.Ip)
		}
		for i, ip := range state.GetRelay() {
			state.Relay[i] = loopback(ip)
		}
		now := time.Second
		task := New(Options{IP: self, Domains: []string{"a", "b"}, Incarnation: 7, Decoder: anyTarget{},
			OnView: func() bool { return true }, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return now }})
		task.context = ended           // contacts of other peers end at once
		task.readNotBefore = time.Hour // there is no store
		for range 2 {
			now += time.Second
			task.merge(now, &state)
			sender := addressFromNumber(state.GetSelf().GetIp())
			task.requestConfig(now, &state, sender)
			task.configFor(&state, task.stateFor(now, sender, task.positionFromMessage(&state), true))
			task.tick(now)
		}
		task.loop.Run(ended, time.Hour, func(time.Duration) {}) // releases what waits for the loop
		task.clients.close()
	})
}
