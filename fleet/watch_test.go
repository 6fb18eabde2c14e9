package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// mutedSource is a store whose watches from revision 7 never answer if they wait. It
// answers other calls after delay.
type mutedSource struct {
	position records.Position
	err      error // of Position
	delay    time.Duration
	answers  bool // watches answer, too
	mu       sync.Mutex
	calls    []string
}

func (s *mutedSource) called(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

func (s *mutedSource) answer(ctx context.Context, call string) (Listing, error) {
	s.called(call)
	backoff.Sleep(ctx, s.delay)
	return Listing{Position: s.position}, ctx.Err()
}

func (s *mutedSource) List(ctx context.Context) (Listing, error) { return s.answer(ctx, "list") }

func (s *mutedSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	if wait > 0 && after == 7 && !s.answers {
		s.called("watch")
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	backoff.Sleep(ctx, wait)
	listing, err := s.answer(ctx, "watch")
	listing.Position.Revision = after
	return listing, err
}

func (s *mutedSource) Position(ctx context.Context) (records.Position, error) {
	listing, err := s.answer(ctx, "position")
	return listing.Position, errors.Join(err, s.err)
}

func (s *mutedSource) Reset() {}

// read runs a reader that has revision 7 of era 1 for a time and returns its results.
func (s *mutedSource) read(t *testing.T, first bool, duration time.Duration) (results []readResult) {
	ctx, cancel := context.WithCancel(t.Context())
	begin := time.Now()
	r := &reader{source: s, now: func() time.Duration { return time.Since(begin) }, position: records.Position{Era: 1, Revision: 7},
		deliver: func(result readResult) { results = append(results, result) }}
	r.first.Store(first)
	go r.run(ctx)
	time.Sleep(duration)
	cancel()
	synctest.Wait()
	return results
}

// Guards against a watch that hears nothing until the end of its time, while the store
// answers other calls: with changes, without, restored from a copy, and failing.
func TestReaderChecksAnOverdueWatch(t *testing.T) {
	for _, c := range []struct {
		name     string
		position records.Position
		err      error
		calls    []string
		failed   bool
	}{
		{"changes", records.Position{Era: 1, Revision: 9}, nil, []string{"watch", "watch", "position", "list", "watch"}, false},
		{"no changes", records.Position{Era: 1, Revision: 7}, nil, []string{"watch", "watch", "position", "watch"}, false},
		{"no era", records.Position{Revision: 7}, nil, []string{"watch", "watch", "position", "watch"}, false},
		{"restored", records.Position{Era: 2, Revision: 5}, nil, []string{"watch", "list", "watch"}, false},
		{"refused", records.Position{Era: 1, Revision: 7}, errors.New("refused"), []string{"watch", "watch", "position", "watch"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &mutedSource{position: c.position, err: c.err}
				results := s.read(t, true, firstReaderWatchWait+minOverdue+maxBackoff)
				is.True(len(s.calls) >= len(c.calls))
				is.Equal(s.calls[:len(c.calls)], c.calls)
				is.True(len(results) >= 2)
				is.Equal(results[1].err != nil, c.failed)
				if c.position.Era == 2 {
					is.True(results[0].full && results[0].afterOutage) // entries that the copy lacks are kept for a while
				}
			})
		})
	}
}

// Guards against an answer of the position from an earlier era that counts as one.
func TestPositionOfAnEarlierEraIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &mutedSource{position: records.Position{Era: 1, Revision: 7}}
		r := &reader{source: s, now: func() time.Duration { return 0 }, position: records.Position{Era: 2, Revision: 7}, answeredBefore: true}
		is.True(r.callStore(t.Context()).err != nil)
	})
}

// Guards against a second call with each watch of a store that is only slow.
func TestWatchOfASlowStoreIsCheckedOnce(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &mutedSource{position: records.Position{Era: 1, Revision: 7}, delay: delay, answers: true}
			for _, result := range s.read(t, false, time.Minute) {
				is.NoErr(result.err)
			}
			checks := len(slices.DeleteFunc(s.calls, func(call string) bool { return call != "position" }))
			is.True(checks <= 1)
		})
	}
}
