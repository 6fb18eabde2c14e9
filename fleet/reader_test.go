package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// countingSource is a store without changes that counts its calls.
type countingSource struct{ lists, watches atomic.Int64 }

func (s *countingSource) List(context.Context) (Listing, error) {
	s.lists.Add(1)
	return Listing{Records: []records.Record{{Key: "k", Revision: 7}}, Position: records.Position{Revision: 7}}, nil
}

func (s *countingSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	s.watches.Add(1)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Listing{Position: records.Position{Revision: after}}, ctx.Err()
}

func (s *countingSource) Position(context.Context) (records.Position, error) {
	return records.Position{}, errors.New("not called: all watches return in time")
}

func (s *countingSource) Reset() {}

// Guards against every instance watching the store after a restart of the whole fleet:
// instances learn about the readers only some hundred milliseconds after their start.
// With 219 instances this cost 984 calls.
func TestFirstWatchWaitsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &countingSource{}
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, deliver: func(readResult) {}}
		go r.run(ctx)
		time.Sleep(firstWatchDelay - time.Millisecond)
		synctest.Wait()
		is.Equal(source.lists.Load(), int64(1))
		is.Equal(source.watches.Load(), int64(0)) // the task can still stop the reader before another call
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.True(source.watches.Load() > 0) // a reader that is not stopped continues
		cancel()
		synctest.Wait()
	})
}

// Guards against a reader that delays its first watch although it has records already:
// it would take over late.
func TestWatchOfARunningInstanceStartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &countingSource{}
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, deliver: func(readResult) {}, position: records.Position{Revision: 7}}
		go r.run(ctx)
		synctest.Wait()
		is.Equal(source.watches.Load(), int64(2)) // the first one returns at once
		cancel()
	})
}

// scriptedSource answers each call with the next of its answers, and then waits. Its first
// watch fails with an error if there is one.
type scriptedSource struct {
	answers []Listing
	calls   []string
	err     error
}

func (s *scriptedSource) answer(ctx context.Context, call string) (Listing, error) {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next, nil
}

func (s *scriptedSource) List(ctx context.Context) (Listing, error) { return s.answer(ctx, "list") }

func (s *scriptedSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (Listing, error) {
	if err := s.err; err != nil {
		s.err = nil
		s.calls = append(s.calls, "watch")
		return Listing{}, err
	}
	return s.answer(ctx, "watch")
}

func (s *scriptedSource) Position(ctx context.Context) (records.Position, error) {
	listing, err := s.answer(ctx, "position")
	return listing.Position, err
}

func (s *scriptedSource) Reset() {}

// Guards against a watch of a restored store that is taken for complete because the store has
// the revision again, and against a late answer of the earlier era that is taken for new.
func TestReaderListsEachEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at := func(era, revision uint64) Listing {
			return Listing{Position: records.Position{Era: era, Revision: revision}}
		}
		source := &scriptedSource{answers: []Listing{at(1, 7), at(2, 8), at(2, 8), at(1, 9), at(2, 9)}}
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		var results []readResult
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, position: records.Position{Era: 1, Revision: 7},
			deliver: func(result readResult) { results = append(results, result) }}
		go r.run(ctx)
		time.Sleep(watchWait)
		synctest.Wait()
		is.Equal(source.calls, []string{"watch", "watch", "list", "watch", "watch", "watch"})
		is.Equal(len(results), 4)
		is.True(results[1].full && results[1].afterOutage) // what is missing may be written again
		is.True(results[2].err != nil)
		is.Equal(results[3].listing.Position, at(2, 9).Position)
		cancel()
		synctest.Wait()
	})
}

// waitsSource fails the second watch and records the wait of each.
type waitsSource struct {
	countingSource
	waits []time.Duration
}

func (s *waitsSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	if s.waits = append(s.waits, wait); len(s.waits) == 2 {
		return Listing{}, errors.New("reset")
	}
	return s.countingSource.Watch(ctx, after, wait)
}

// Guards against a later era that is found only after the wait of a watch, since the
// restored store has reached the reader's revision again.
func TestFirstWatchAfterAFailureDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := new(waitsSource)
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, deliver: func(readResult) {}, position: records.Position{Era: 1, Revision: 7}}
		go r.run(ctx)
		time.Sleep(2 * watchWait)
		cancel()
		synctest.Wait()
		is.Equal(source.waits[:4], []time.Duration{0, watchWait, 0, watchWait})
	})
}

// Guards against a reader that repeats a watch whose response it can never read.
func TestReaderListsChangesThatAreTooLong(t *testing.T) {
	for _, err := range []error{ErrTooManyChanges, ErrHistoryGone} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			source := &scriptedSource{err: errors.Wrap(err, "watch"), answers: []Listing{{Position: records.Position{Era: 1, Revision: 9}}}}
			ctx, cancel := context.WithCancel(t.Context())
			begin := time.Now()
			var results []readResult
			r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, position: records.Position{Era: 1, Revision: 7},
				deliver: func(result readResult) { results = append(results, result) }}
			go r.run(ctx)
			synctest.Wait()
			is.Equal(source.calls, []string{"watch", "list", "watch"})
			is.Equal(len(results), 1)
			is.True(results[0].full && results[0].err == nil)
			cancel()
			synctest.Wait()
		})
	}
}

// silentSource is a store that does not answer calls that begin before its return.
type silentSource struct {
	back  time.Time
	calls int
}

func (s *silentSource) answer(ctx context.Context) (Listing, error) {
	s.calls++
	if time.Now().Before(s.back) {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	return Listing{Position: records.Position{Era: 1, Revision: 7}}, nil
}

func (s *silentSource) List(ctx context.Context) (Listing, error) { return s.answer(ctx) }

func (s *silentSource) Watch(ctx context.Context, _ uint64, wait time.Duration) (Listing, error) {
	listing, err := s.answer(ctx)
	if err == nil {
		backoff.Sleep(ctx, wait) // there are no changes
	}
	return listing, err
}

func (s *silentSource) Position(ctx context.Context) (records.Position, error) {
	listing, err := s.answer(ctx)
	return listing.Position, err
}

func (s *silentSource) Reset() {}

// Guards against a reader that starts just before the store is back, and notices that only
// when a call from before it has ended after seconds.
func TestReaderNoticesTheReturnOfASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		source := &silentSource{back: begin.Add(50 * time.Millisecond)}
		ctx, cancel := context.WithCancel(t.Context())
		var answeredAfter time.Duration
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, position: records.Position{Era: 1, Revision: 7},
			deliver: func(result readResult) {
				if result.err == nil && answeredAfter == 0 {
					answeredAfter = time.Since(begin)
				}
			}}
		go r.run(ctx)
		time.Sleep(watchWait + watchGrace)
		synctest.Wait()
		is.True(answeredAfter > 0 && answeredAfter < time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against calls to a store that is only slow that always end too early.
func TestReaderWaitsLongerForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		source := &silentSource{back: begin.Add(time.Hour)}
		ctx, cancel := context.WithCancel(t.Context())
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, position: records.Position{Era: 1, Revision: 7},
			deliver: func(readResult) {}}
		go r.run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.True(source.calls < 30) // a call takes 2.4 s in the end
		cancel()
		synctest.Wait()
	})
}
