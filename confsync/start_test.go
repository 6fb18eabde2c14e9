package confsync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// countingService is a configuration service that is down for the first 10 s. It
// counts the calls in each second.
type countingService struct {
	mu    sync.Mutex
	start time.Time
	calls map[time.Duration]int
}

func (s *countingService) Read(context.Context) (configservice.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := time.Since(s.start)
	s.calls[up.Truncate(time.Second)]++
	if up < 10*time.Second {
		return configservice.Value{}, errors.New("down")
	}
	return configservice.Value{Data: document(1, ""), Tag: "1"}, nil
}

func (s *countingService) Watch(ctx context.Context, _ string) (configservice.Value, error) {
	if _, err := s.Read(ctx); err != nil {
		return configservice.Value{}, err
	}
	backoff.Sleep(ctx, 20*time.Second)
	return configservice.Value{}, configservice.ErrUnchanged
}

// unresponsivePeers has one listed peer that does not respond.
type unresponsivePeers struct{}

func (unresponsivePeers) ListedPeers(context.Context) ([]string, error) { return []string{"a"}, nil }
func (unresponsivePeers) QueryVersion(ctx context.Context, _ string) (uint64, string, error) {
	return 0, "", errors.New("no response")
}
func (unresponsivePeers) Content(context.Context, string, uint64) ([]byte, error) {
	return nil, errors.New("no response")
}

// Guards against exceeding the service's read limit when all instances start at
// once, and against a start that waits forever for dead peers. Time is simulated,
// so the counts do not depend on the machine.
func TestAllStartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &countingService{start: time.Now(), calls: make(map[time.Duration]int)}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range 20 {
			syncer := New(Options{Source: s, Peers: unresponsivePeers{}, Apply: func(*tables.Document) {}})
			group.Go(func() { syncer.Run(ctx) })
			group.Go(func() { <-syncer.Ready() })
		}
		time.Sleep(time.Minute)
		cancel()
		group.Wait()
		total := 0
		for second, calls := range s.calls {
			is.True(calls <= 100) // 2,000 are allowed; the other follower of each instance calls as often
			total += calls
			t.Logf("second %v: %d calls", second.Seconds(), calls)
		}
		is.True(total < 20*20)
	})
}
