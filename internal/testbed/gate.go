package testbed

import (
	"context"
	"net/http"
	"strings"
	"sync"
)

// gate stands between instances and one value of the platform. An instance's
// identifier is the path of its URL, so that single instances can be cut off.
type gate struct {
	next http.Handler

	mu      sync.Mutex
	blind   map[string]bool
	changed chan struct{}
}

func newGate(next http.Handler) *gate {
	return &gate{next: next, blind: make(map[string]bool), changed: make(chan struct{})}
}

// set cuts an instance off, pending watches included, or connects it again.
func (g *gate) set(id string, blind bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blind[id] = blind
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) state(id string) (blind bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blind[id], g.changed
}

// ServeHTTP passes calls on, or closes the connections of those cut off.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	blind, changed := g.state(id)
	if blind {
		panic(http.ErrAbortHandler)
	}
	go func() {
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			if blind, changed = g.state(id); blind {
				cancel()
				return
			}
		}
	}()
	g.next.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // no answer was written
	}
}

// SetConfigurationBlocked decides whether the instance at a place can read the configuration
// service. It stays in effect when the instance is replaced.
func (f *Fleet) SetConfigurationBlocked(place int, blind bool) { f.gate.set(identifier(place), blind) }
