package fleet

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

type refusingDecoder struct{}

func (refusingDecoder) Decode(string, []byte) (catalog.Entry, error) {
	return catalog.Entry{}, errors.New("unknown format")
}

// newStoppedTask returns a task whose calls to peers fail, for tests that pass messages
// and results to it directly.
func newStoppedTask(t *testing.T, ip netip.Addr, decoder Decoder) *Task {
	t.Helper()
	task := New(Options{IP: ip, Domains: []string{"a"}, Decoder: decoder, Log: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return 0 }})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	task.context = ended
	t.Cleanup(func() {
		task.loop.Run(ended, time.Hour, func(time.Duration) {}) // releases what waits for the loop
		task.clients.close()
	})
	return task
}

// Guards against an instance that gets a configuration which it cannot decode, such as one
// for a later build, with each exchange again.
func TestUndecodableConfigurationIsNotRequestedAgain(t *testing.T) {
	is := is.New(t)
	self, other := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	task := newStoppedTask(t, self, refusingDecoder{})
	state := &peerapi.FleetState{Self: &peerapi.FleetMember{Ip: numberFromAddress(other)}, ConfigVersion: proto.Int64(5),
		Config: &peerapi.FleetRecord{Key: "config", Value: []byte("?")}}
	task.mergeConfig(0, state, other)
	task.requestConfig(0, state, other)
	is.Equal(len(task.exchanging), 0)
	is.Equal(task.stateFor(0, other, task.set.Position(), true).GetConfigVersion(), int64(5)) // peers do not send it either
	state.ConfigVersion = proto.Int64(6)
	task.requestConfig(0, state, other)
	is.Equal(len(task.exchanging), 1)
}
