package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

type targetDecoder struct{}

func (targetDecoder) Decode(key string, _ []byte) (catalog.Entry, error) {
	return catalog.Entry{Target: &catalog.Target{ID: key, Service: "s", Slots: 1, StartUnixMS: 100, Sequence: 1}}, nil
}

// Guards against targets that the reader keeps, since they lapsed while the store was
// unavailable and lost its history, and that all other instances remove at once.
func TestLapseReachesPeersWithAWholeListing(t *testing.T) {
	is := is.New(t)
	reader := newStoppedTask(t, netip.MustParseAddr("127.0.0.1"), targetDecoder{})
	other := newStoppedTask(t, netip.MustParseAddr("127.0.0.2"), targetDecoder{})
	read := func(now time.Duration, result readResult, list []records.Record, revision uint64) {
		result.full, result.listing = true, Listing{Records: list, Position: records.Position{Era: 1, Revision: revision}}
		reader.handleRead(now, result)
		other.mergeRecords(now, reader.stateFor(now, other.options.IP, other.set.Position(), true), reader.options.IP)
	}
	all := []records.Record{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}
	read(1, readResult{}, all, 5)
	is.Equal(len(other.View().Targets["s"]), 2)
	read(2, readResult{afterOutage: true}, all[:1], 9)
	is.Equal(len(reader.View().Targets["s"]), 2)
	is.Equal(len(other.View().Targets["s"]), 2)
	for _, task := range []*Task{reader, other} {
		is.True(task.builder.Expire(2 + catalog.LapseGrace))
	}
}
