package fleet_test

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// store is a fake store whose contents and failures the test controls.
type store struct {
	mu       sync.Mutex
	records  map[string]records.Record
	events   []records.Record
	revision uint64
	era      uint64
	calls    map[string]int // number of calls by reader
	refused  map[string]bool
	ignored  map[string]bool // gets no answers
	silent   bool            // watches return no changes, and those that wait then never return
	dropped  uint64          // history up to this revision is gone
	// delay is how long the store takes for each answer. refuseAll is true if it refuses all.
	delay     time.Duration
	refuseAll bool
	changed   chan struct{}
}

func newStore() *store {
	return &store{records: make(map[string]records.Record), revision: 1, era: 1, calls: make(map[string]int),
		refused: make(map[string]bool), changed: make(chan struct{})}
}

func (s *store) change(r records.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	s.events = append(s.events, r)
	s.notify()
}

// notify makes waiting watch calls check again. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// position returns the position of the store. The caller holds mu or is the only one that
// changes the store.
func (s *store) position() records.Position {
	return records.Position{Era: s.era, Revision: s.revision}
}

// restore replaces the contents by those at an earlier revision.
func (s *store) restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.revision = s.era+1, revision
	s.records = make(map[string]records.Record)
	s.events = slices.DeleteFunc(s.events, func(r records.Record) bool { return r.Revision > revision })
	for _, r := range s.events {
		s.records[r.Key] = r
	}
	s.notify()
}

func (s *store) refuse(readers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reader := range readers {
		s.refused[reader] = true
	}
	s.notify()
}

// compact drops the history after a time in which watches hear nothing. Those that wait
// meanwhile never answer.
func (s *store) compact(silence time.Duration) {
	s.mu.Lock()
	s.silent = true
	s.notify()
	s.mu.Unlock()
	time.AfterFunc(silence, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.silent, s.dropped, s.events = false, s.revision, nil
	})
}

// callCount returns the number of calls since the last resetCalls.
func (s *store) callCount() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.calls {
		count += n
	}
	return count
}

// ignore makes the store answer no further call of the readers.
func (s *store) ignore(readers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignored = make(map[string]bool)
	for _, reader := range readers {
		s.ignored[reader] = true
	}
	s.notify()
}

// serveAll ends all refusals.
func (s *store) serveAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.refused)
}

// resetCalls returns the two instances that call the store most within a time.
func (s *store) resetCalls(within time.Duration) []string {
	s.mu.Lock()
	clear(s.calls)
	s.mu.Unlock()
	time.Sleep(within)
	names := s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(s.calls[b]-s.calls[a], cmp.Compare(a, b)) })
	return names[:min(2, len(names))]
}

func (s *store) readers() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.calls {
		names = append(names, name)
	}
	return names
}

// source is the fleet.Source of one instance. It counts calls under name.
type source struct {
	store *store
	name  string
}

var errRefused = errors.New("refused")

// countCall counts a call, waits as long as the store takes for an answer and returns an error
// if the store refuses the call.
func (s *source) countCall(ctx context.Context) error {
	s.store.mu.Lock()
	s.store.calls[s.name]++
	delay, refused := s.store.delay, s.store.refused[s.name] || s.store.refuseAll
	if s.store.ignored[s.name] {
		delay = time.Hour
	}
	s.store.mu.Unlock()
	if backoff.Sleep(ctx, delay); ctx.Err() != nil {
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return nil
}

func (s *source) List(ctx context.Context) (fleet.Listing, error) {
	if err := s.countCall(ctx); err != nil {
		return fleet.Listing{}, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	list := fleet.Listing{Position: s.store.position()}
	for _, r := range s.store.records {
		if !r.Deleted {
			list.Records = append(list.Records, r)
		}
	}
	return list, nil
}

func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) (fleet.Listing, error) {
	if err := s.countCall(ctx); err != nil {
		return fleet.Listing{}, err
	}
	end := time.After(wait)
	for {
		s.store.mu.Lock()
		list := fleet.Listing{Position: s.store.position()}
		for _, r := range s.store.events {
			if r.Revision > after {
				list.Records = append(list.Records, r)
			}
		}
		changed, silent, refused, ignored := s.store.changed, s.store.silent, s.store.refused[s.name], s.store.ignored[s.name]
		historyGone := after > s.store.revision || after < s.store.dropped
		s.store.mu.Unlock()
		switch {
		case refused:
			return list, errRefused
		case silent || ignored:
			<-ctx.Done()
			return list, ctx.Err()
		case historyGone:
			return list, fleet.ErrHistoryGone
		case len(list.Records) > 0:
			return list, nil
		}
		select {
		case <-changed:
		case <-end:
			return list, nil
		case <-ctx.Done():
			return list, ctx.Err()
		}
	}
}

func (s *source) Position(ctx context.Context) (records.Position, error) {
	if err := s.countCall(ctx); err != nil {
		return records.Position{}, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.position(), nil
}

func (s *source) Reset() {}
