package fleet_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/fleet"
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
	changed  chan struct{}
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

// countCall counts a call and returns an error if the store refuses it. The caller holds
// store.mu.
func (s *source) countCall() error {
	s.store.calls[s.name]++
	if s.store.refused[s.name] {
		return errRefused
	}
	return nil
}

func (s *source) List(context.Context) (fleet.Listing, error) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if err := s.countCall(); err != nil {
		return fleet.Listing{}, err
	}
	list := fleet.Listing{Position: s.store.position()}
	for _, r := range s.store.records {
		if !r.Deleted {
			list.Records = append(list.Records, r)
		}
	}
	return list, nil
}

func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) (fleet.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.store.mu.Lock()
		err := s.countCall()
		list := fleet.Listing{Position: s.store.position()}
		for _, r := range s.store.events {
			if r.Revision > after {
				list.Records = append(list.Records, r)
			}
		}
		changed := s.store.changed
		if err == nil && after > s.store.revision {
			err = fleet.ErrHistoryGone
		}
		s.store.mu.Unlock()
		if err != nil || len(list.Records) > 0 {
			return list, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return list, nil
		}
	}
}

func (s *source) Reset() {}
