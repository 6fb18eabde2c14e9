package records_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/records"
)

func put(key string, revision uint64) records.Record {
	return records.Record{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func deleted(key string, revision uint64) records.Record {
	return records.Record{Key: key, Revision: revision, Deleted: true}
}

// at returns a position in era 0.
func at(revision uint64) records.Position { return records.Position{Revision: revision} }

// Guards against older changes that overwrite newer ones when they arrive out of
// order.
func TestNewerRevisionWins(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	is.Equal(len(s.Apply([]records.Record{put("a", 5)}, at(5))), 1)
	is.Equal(len(s.Apply([]records.Record{put("a", 3)}, at(3))), 0)
	is.Equal(len(s.Apply([]records.Record{deleted("a", 4)}, at(4))), 0)
	is.Equal(s.All(), []records.Record{put("a", 5)})
	is.Equal(s.Position(), at(5))
}

// Guards against keeping items that were deleted from the store while its changes
// were not observed.
func TestListingDeletesMissingItems(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 1), put("b", 2)}, at(2), false)
	s.Apply([]records.Record{put("c", 9)}, at(9))
	applied := s.Replace([]records.Record{put("a", 1)}, at(7), true)
	is.Equal(applied, []records.Record{{Key: "b", Revision: 7, Deleted: true, Lapsed: true}})
	is.Equal(s.All(), []records.Record{put("a", 1), put("c", 9)}) // c is newer than the listing
}

// Guards against a restored store whose contents are taken for outdated, against answers
// of the earlier era that overwrite them, and against changes that are applied without
// the listing that begins their era.
func TestLaterEraReplacesItems(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 1), put("b", 2), put("c", 9)}, records.Position{Era: 1, Revision: 9}, false)
	restored := records.Position{Era: 2, Revision: 3}
	is.Equal(len(s.Apply([]records.Record{put("c", 20)}, records.Position{Era: 2, Revision: 20})), 0)
	applied := s.Replace([]records.Record{put("a", 1), put("b", 3)}, restored, false)
	is.Equal(applied, []records.Record{{Key: "c", Revision: 3, Deleted: true, Lapsed: true}, put("b", 3)})
	is.Equal(s.Position(), restored)
	is.Equal(len(s.Apply([]records.Record{put("a", 12)}, records.Position{Era: 1, Revision: 12})), 0)
	is.Equal(len(s.Replace([]records.Record{put("a", 12)}, records.Position{Era: 1, Revision: 12}, false)), 0)
	is.Equal(s.All(), []records.Record{put("a", 1), put("b", 3)})
	_, ok := s.Since(records.Position{Era: 1, Revision: 9})
	is.True(!ok) // a copy of the earlier era needs the whole listing
	is.Equal(len(s.Apply([]records.Record{put("c", 4)}, records.Position{Era: 2, Revision: 4})), 1)
}

// Guards against an incomplete list of changes after older deletions were dropped
// from the history.
func TestSinceFailsForRevisionsBeforeItsHistory(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 10)}, at(10), false)
	_, ok := s.Since(at(9))
	is.True(!ok) // deletions before the listing are not known
	list, ok := s.Since(at(10))
	is.True(ok)
	is.Equal(len(list), 0)
	for revision := uint64(11); revision < 6000; revision++ {
		key := fmt.Sprint("k", revision/2)
		change := put(key, revision)
		if revision%2 == 1 {
			change = deleted(key, revision)
		}
		s.Apply([]records.Record{change}, at(revision))
	}
	_, ok = s.Since(at(10))
	is.True(!ok)
	_, ok = s.Since(at(5990))
	is.True(ok)
}

// Guards against an incomplete list of changes after a listing: an item that was added and
// deleted before it is missing from the list.
func TestSinceFailsForRevisionsBeforeAListing(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 10)}, at(10), false)
	s.Replace([]records.Record{put("a", 10)}, at(20), false)
	_, ok := s.Since(at(15))
	is.True(!ok)
	_, ok = s.Since(at(20))
	is.True(ok)
}

// Guards against copies that differ although they have the same position. The copies
// get their changes from the source and from each other, in any order and sometimes
// twice, also while the store is restored from older copies.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := records.NewSet()
		copies := []*records.Set{records.NewSet(), records.NewSet(), records.NewSet()}
		feed := func(from, to *records.Set) {
			if from.Position().Compare(to.Position()) <= 0 {
				return
			}
			if changes, ok := from.Since(to.Position()); ok && !to.Empty() {
				to.Apply(changes, from.Position())
				return
			}
			to.Replace(from.AllWithLapses(), from.Position(), false)
		}
		all := append([]*records.Set{source}, copies...)
		revision, backup := uint64(0), []records.Record(nil)
		backupRevision, era := uint64(0), uint64(0)
		for range 60 {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				backup, backupRevision = source.All(), revision
			case 1:
				if backupRevision > 0 {
					era, revision = era+1, backupRevision
					source.Replace(backup, records.Position{Era: era, Revision: revision}, false)
				}
			}
			revision++
			change := put(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")), revision)
			if rapid.Bool().Draw(t, "remove") {
				change = deleted(change.Key, revision)
			}
			source.Apply([]records.Record{change}, records.Position{Era: era, Revision: revision})
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := rapid.IntRange(1, 3).Draw(t, "to")
			feed(all[from], all[to])
		}
		for _, c := range copies {
			feed(source, c)
			if fmt.Sprint(c.All()) != fmt.Sprint(source.All()) {
				t.Fatalf("copy %v, source %v", c.All(), source.All())
			}
		}
	})
}
