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

// Guards against older changes that overwrite newer ones when they arrive out of
// order.
func TestNewerRevisionWins(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	is.Equal(len(s.Apply([]records.Record{put("a", 5)}, 5)), 1)
	is.Equal(len(s.Apply([]records.Record{put("a", 3)}, 3)), 0)
	is.Equal(len(s.Apply([]records.Record{deleted("a", 4)}, 4)), 0)
	is.Equal(s.All(), []records.Record{put("a", 5)})
	is.Equal(s.Revision(), uint64(5))
}

// Guards against keeping items that were deleted from the store while its changes
// were not observed.
func TestListingDeletesMissingItems(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 1), put("b", 2)}, 2, false)
	s.Apply([]records.Record{put("c", 9)}, 9)
	applied := s.Replace([]records.Record{put("a", 1)}, 7, true)
	is.Equal(applied, []records.Record{{Key: "b", Revision: 7, Deleted: true, Lapsed: true}})
	is.Equal(s.All(), []records.Record{put("a", 1), put("c", 9)}) // c is newer than the listing
}

// Guards against an incomplete list of changes after older deletions were dropped
// from the history.
func TestSinceFailsForRevisionsBeforeItsHistory(t *testing.T) {
	is := is.New(t)
	s := records.NewSet()
	s.Replace([]records.Record{put("a", 10)}, 10, false)
	_, ok := s.Since(9)
	is.True(!ok) // deletions before the listing are not known
	list, ok := s.Since(10)
	is.True(ok)
	is.Equal(len(list), 0)
	for revision := uint64(11); revision < 6000; revision++ {
		key := fmt.Sprint("k", revision/2)
		change := put(key, revision)
		if revision%2 == 1 {
			change = deleted(key, revision)
		}
		s.Apply([]records.Record{change}, revision)
	}
	_, ok = s.Since(10)
	is.True(!ok)
	_, ok = s.Since(5990)
	is.True(ok)
}

// Guards against copies that differ although they have the same revision. The copies
// get their changes from the source and from each other, in any order and sometimes
// twice.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := records.NewSet()
		copies := []*records.Set{records.NewSet(), records.NewSet(), records.NewSet()}
		feed := func(from, to *records.Set) {
			if from.Revision() <= to.Revision() {
				return
			}
			if changes, ok := from.Since(to.Revision()); ok && to.Revision() > 0 {
				to.Apply(changes, from.Revision())
				return
			}
			to.Replace(from.All(), from.Revision(), false)
		}
		all := append([]*records.Set{source}, copies...)
		for revision := uint64(1); revision < 60; revision++ {
			change := put(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")), revision)
			if rapid.Bool().Draw(t, "remove") {
				change = deleted(change.Key, revision)
			}
			source.Apply([]records.Record{change}, revision)
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
