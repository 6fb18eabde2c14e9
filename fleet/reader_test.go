package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// countingSource is a store without changes that counts its calls.
type countingSource struct{ lists, watches atomic.Int64 }

func (s *countingSource) List(context.Context) (Listing, error) {
	s.lists.Add(1)
	return Listing{Records: []records.Record{{Key: "k", Revision: 7}}, Revision: 7}, nil
}

func (s *countingSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	s.watches.Add(1)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Listing{Revision: after}, ctx.Err()
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
		r := &reader{source: source, now: func() time.Duration { return time.Since(begin) }, deliver: func(readResult) {}, revision: 7}
		go r.run(ctx)
		synctest.Wait()
		is.Equal(source.watches.Load(), int64(2)) // the first one returns at once
		cancel()
	})
}
