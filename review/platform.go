// Program standin holds the stand-ins of the review: the platform's store, upstreams and
// clients, and the start and stop of instances. It uses the standard library only.
package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the store, or a tombstone.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	address  string
	// keep is how long history is kept; 0: for ever. at holds when each of history was written.
	keep    time.Duration
	at      []time.Time
	dropped uint64 // revision of the last change that is no longer in history
	// onWatch gets the number of events and of bytes of each answer to a watch, -1 events
	// for a 410.
	onWatch func(events, bytes int)
}

func newStore(address string) *store {
	s := &store{items: make(map[string]item), revision: 10, changed: make(chan struct{}), address: address}
	l, err := net.Listen("tcp", address)
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *store) put(key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		var err error
		text, err = json.Marshal(value)
		check(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) publish(i item) {
	s.history, s.at = append(s.history, i), append(s.at, time.Now())
	s.forget()
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops what is older than keep.
func (s *store) forget() {
	for s.keep > 0 && len(s.at) > 0 && time.Since(s.at[0]) > s.keep {
		s.dropped = s.history[0].Revision
		s.history, s.at = s.history[1:], s.at[1:]
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	reply := map[string]any{"items": list, "truncated": false, "asOf": s.revision}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.forget()
		if after < s.dropped {
			s.mu.Unlock()
			if s.onWatch != nil {
				s.onWatch(-1, 0)
			}
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			text, err := json.Marshal(map[string]any{"events": events, "asOf": revision})
			check(err)
			if s.onWatch != nil {
				s.onWatch(len(events), len(text))
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(text)
			return
		}
	}
}

// value returns the value of an item.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}
