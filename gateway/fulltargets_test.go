package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
)

const fullTargetSlots = 4 // as the fixture registers its targets

// runUnlessFull returns a server that never answers a request beyond its slots, nor any other
// on that connection, and counts them. It reports its load if tells is set.
func runUnlessFull(tells bool, dropped *atomic.Int64) func(*target, net.Conn, *http.Request, []byte) bool {
	var mu sync.Mutex
	running := 0
	add := func(s *target, n int) (full bool) {
		mu.Lock()
		defer mu.Unlock()
		if running+n > fullTargetSlots {
			return true
		}
		if running += n; tells {
			s.load.Store(fmt.Sprintf("%d,0,%d", running, fullTargetSlots))
		}
		return false
	}
	return func(s *target, c net.Conn, r *http.Request, body []byte) bool {
		if add(s, 1) {
			dropped.Add(1)
			return hang(s, c, r, body)
		}
		time.Sleep(5 * time.Millisecond) // so that requests meet
		add(s, -1)
		return run(s, c, r, body)
	}
}

// Guards against requests beyond the slots of targets that never answer them. The load is 30
// callers at a time for two targets with four slots each.
func TestTargetsGetNoMoreThanTheirSlots(t *testing.T) {
	for name, tells := range map[string]bool{"with load reports": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var dropped atomic.Int64
			f := start(t, startTarget(t, "a", runUnlessFull(tells, &dropped)), startTarget(t, "b", runUnlessFull(tells, &dropped)))
			for _, s := range f.targets {
				if !tells {
					s.load.Store("")
				}
			}
			const callers, each = 30, 10
			served := make(chan int, callers)
			for range callers {
				go func() {
					n := 0
					for range each {
						if f.send(t, "POST", "/unsafe/x", "", "Deadline-Ms", "8000").status == http.StatusOK {
							n++
						}
					}
					served <- n
				}()
			}
			total := 0
			for range callers {
				total += await(t, served)
			}
			is.Equal(dropped.Load(), int64(0))
			is.True(total > 0)
		})
	}
}

// Guards against waiting until the deadline for a target that has dropped a request that may be
// repeated, against a second run of one that may not, and against later requests on the
// connection, which are never answered either.
func TestRequestDroppedByItsTarget(t *testing.T) {
	for path, status := range map[string]int{"/quick/x": http.StatusOK, "/unsafe/x": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			f := start(t, startTarget(t, "a", func(s *target, c net.Conn, r *http.Request, body []byte) bool {
				defer close(closed)
				return hang(s, c, r, body)
			}))
			got := make(chan int, 1)
			go func() { got <- f.send(t, "POST", path, "", "Deadline-Ms", "5000").status }()
			awaitTrue(t, func() bool { return f.targets[0].ran.Load() > 0 || len(got) > 0 })
			f.targets = append(f.targets, startTarget(t, "b", run))
			f.configure(catalog.Limits{})
			is.Equal(await(t, got), status)
			await(t, closed)
			is.Equal(len(f.targets[0].received()), 1)
			is.Equal(f.targets[1].ran.Load() == 1, status == http.StatusOK)
		})
	}
}
