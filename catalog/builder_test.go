package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

func target(id string, startUnixMS, sequence int64, draining bool) *catalog.Target {
	return &catalog.Target{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1, StartUnixMS: startUnixMS, Sequence: sequence, Draining: draining}
}

func ids(v *catalog.View) []string {
	list := []string{}
	for _, t := range v.Targets["s"] {
		list = append(list, t.ID)
	}
	return list
}

// Guards against replacing a configuration by an older version.
func TestOlderVersionIsIgnored(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	is.True(b.SetConfig(&catalog.Config{Version: 7}))
	is.True(!b.SetConfig(&catalog.Config{Version: 7}))
	is.True(!b.SetConfig(&catalog.Config{Version: 5}))
	is.True(b.SetConfig(&catalog.Config{Version: 12}))
	is.Equal(b.Build(0, records.Position{}).Config.Version, int64(12))
}

// Guards against new requests for a target that drains or has an unreadable entry,
// and against such an entry affecting other targets.
func TestOnlyReadyTargetsTakeWork(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("a", target("a", 1, 1, false))
	b.SetTarget("b", target("b", 1, 1, true))
	b.SetTarget("c", target("c", 1, 1, false))
	b.SetTarget("c", nil)
	is.Equal(ids(b.Build(0, records.Position{})), []string{"a"})
}

// Guards against a delayed registration that makes a draining target ready again,
// and against taking the registration of a restarted target, whose sequence starts
// again, for a delayed one.
func TestDelayedReportIsIgnored(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("a", target("a", 100, 9, true))
	b.SetTarget("a", target("a", 100, 8, false)) // delayed
	b.SetTarget("a", target("a", 99, 50, false)) // earlier incarnation
	is.Equal(ids(b.Build(0, records.Position{})), []string{})
	b.SetTarget("a", target("a", 200, 1, false)) // restarted
	is.Equal(ids(b.Build(0, records.Position{})), []string{"a"})
}

// Guards against the loss of running targets whose entries expired while the store
// was unavailable, and against keeping them longer than LapseGrace.
func TestLapsedTargetIsKeptForAWhile(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("a", target("a", 1, 1, false))
	b.SetTarget("b", target("b", 1, 1, true))
	b.SetTarget("c", target("c", 1, 1, false))
	now := 10 * time.Second
	b.Remove(now, "a", true)
	b.Remove(now, "b", true) // was draining
	b.Remove(now, "c", false)
	is.Equal(ids(b.Build(now, records.Position{})), []string{"a"})
	is.True(!b.Expire(now + catalog.LapseGrace - 1))
	is.True(b.Expire(now + catalog.LapseGrace))
	is.Equal(ids(b.Build(now, records.Position{})), []string{})
}

// Guards against deleting a target that registered again after its entry lapsed.
func TestRenewedTargetStays(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("a", target("a", 1, 1, false))
	b.Remove(0, "a", true)
	b.SetTarget("a", target("a", 1, 2, false))
	is.True(!b.Expire(time.Hour))
	is.Equal(ids(b.Build(0, records.Position{})), []string{"a"})
}

// Guards against work for a target that drains or was removed, after a restored store lists
// it again as it was before: only a later registration brings it back. A target whose
// entry only lapsed comes back as it was.
func TestRestoredEntryOfARemovedTargetIsIgnored(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	list := func() []string { return ids(b.Build(0, records.Position{})) }
	for _, id := range []string{"crashed", "drained", "lapsed", "restarted"} {
		b.SetTarget(id, target(id, 100, 5, false))
	}
	b.SetTarget("drained", target("drained", 100, 6, true))
	b.Remove(0, "crashed", false)
	b.Remove(0, "drained", true) // the copy lacks it, but it was draining
	b.Remove(0, "lapsed", true)
	b.Remove(0, "restarted", false)
	is.True(b.Expire(catalog.LapseGrace))
	for _, id := range []string{"crashed", "drained", "lapsed", "restarted"} {
		b.SetTarget(id, target(id, 100, 5, false)) // as in the copy
		b.Remove(0, id+"-unknown", false)
	}
	is.Equal(list(), []string{"lapsed"})
	b.Remove(0, "crashed", false) // its entry of the copy expires
	b.SetTarget("crashed", target("crashed", 100, 5, false))
	is.Equal(list(), []string{"lapsed"})
	b.SetTarget("crashed", target("crashed", 100, 6, false)) // was not reachable for a while
	b.SetTarget("restarted", target("restarted", 200, 1, false))
	is.Equal(list(), []string{"crashed", "lapsed", "restarted"})
}

// Guards against removing a target that the store lists, since it had lapsed before and
// its entry in the copy is older than the one known.
func TestOlderRegistrationEndsLapse(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("a", target("a", 100, 8, false))
	b.Remove(0, "a", true)
	b.SetTarget("a", target("a", 100, 5, false)) // from an older copy
	is.True(!b.Expire(time.Hour))
	is.Equal(ids(b.Build(0, records.Position{})), []string{"a"})
}

// Guards against a running target that is never used again: its registration in a copy of
// the store is not later than the one before its removal, and its reports change no more.
func TestRefusedTargetIsUsedIfItsEntryStays(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	for _, id := range []string{"expires", "runs", "set-back"} {
		b.SetTarget(id, target(id, 100, 5, false))
		b.Remove(0, id, false)
	}
	is.True(!b.SetTarget("expires", target("expires", 100, 5, false)))
	is.True(!b.SetTarget("runs", target("runs", 100, 5, false)))
	is.True(!b.SetTarget("set-back", target("set-back", 99, 1, false))) // restarted with another clock
	is.True(!b.Expire(time.Second))
	b.Remove(0, "expires", false)
	is.True(!b.Expire(10 * time.Second))
	is.Equal(ids(b.Build(0, records.Position{})), []string{})
	is.True(b.Expire(time.Minute))
	is.Equal(ids(b.Build(0, records.Position{})), []string{"runs", "set-back"})
	is.True(!b.Expire(time.Hour))
}
