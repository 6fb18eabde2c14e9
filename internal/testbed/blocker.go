package testbed

import (
	"context"
	"net/http"
	"strings"
	"sync"
)

// blocker is an HTTP handler between the instances and one platform service. It can
// block single instances, because each instance uses a URL with its identifier as the
// path.
type blocker struct {
	next http.Handler

	mu      sync.Mutex
	blocked map[string]bool
	changed chan struct{}
}

func newBlocker(next http.Handler) *blocker {
	return &blocker{next: next, blocked: make(map[string]bool), changed: make(chan struct{})}
}

// set blocks an instance, including its pending watches, or unblocks it.
func (b *blocker) set(id string, blocked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocked[id] = blocked
	close(b.changed)
	b.changed = make(chan struct{})
}

// state reports whether an instance is blocked, and returns a channel that is closed
// on the next change for any instance.
func (b *blocker) state(id string) (blocked bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blocked[id], b.changed
}

// ServeHTTP forwards calls to the next handler, and closes the connections of blocked
// instances without a response.
func (b *blocker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	blocked, changed := b.state(id)
	if blocked {
		panic(http.ErrAbortHandler)
	}
	go func() {
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			if blocked, changed = b.state(id); blocked {
				cancel()
				return
			}
		}
	}()
	b.next.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // no response was written
	}
}

// SetConfigurationBlocked blocks or unblocks the calls of the instance at an index to
// the configuration service. The setting stays in effect when the instance is replaced.
func (f *Fleet) SetConfigurationBlocked(index int, blocked bool) {
	f.blocker.set(identifier(index), blocked)
}
