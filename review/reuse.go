package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["reuse"] = reuseCase }

// reuseCase: two upstreams crash for good, and their addresses go to upstreams of another
// service, which has another path for health checks. Clients use both services all the while.
func reuseCase(c *setup) bool {
	const (
		reuseAfter = 2 * time.Second
		expires    = 4500 * time.Millisecond // three heartbeat intervals
		length     = 14 * time.Second
		upstreams  = 8 // of each service
		replaced   = 2
	)
	s := newScene(c, 6)
	work := func() time.Duration { return time.Duration(40+rand.IntN(40)) * time.Millisecond }
	s.addServiceWith("coleta", 283, "/healthz")
	s.addServiceWith("series", 283, "/alive")
	s.addRoute("cesta", "/cesta/", "safe", "coleta", 0.8, 0.25, 2, 2)
	s.addRoute("serie", "/serie/", "safe", "series", 1.5, 0.6, 2, 2)
	s.addUpstreams("coleta", upstreams, 4, work)
	s.addUpstreams("series", upstreams, 4, work)
	var mu sync.Mutex
	asked := map[string]bool{}
	unasked, before := 0, 0
	watch := func(u *upstream) {
		if u.service == "series" {
			u.healthPath = "/alive"
		}
		u.onRun = func(r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			if id := r.Header.Get("X-Request-Id"); !asked[id] {
				unasked++
				s.rec.line("%s of %s runs %s %s with the id %s, which no client sent", u.id, u.service, r.Method, r.RequestURI, id)
			}
		}
	}
	for _, u := range s.upstreams {
		watch(u)
	}
	s.startAll()
	end := time.Now().Add(length)
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for time.Now().Before(end) {
			time.Sleep(1500 * time.Millisecond)
			s.beat()
		}
	}()
	for _, m := range s.machines {
		for range 6 {
			all.Add(1)
			go func() {
				defer all.Done()
				var k kept
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Float64() * 0.3 * float64(time.Second)))
					id, path := s.id(), "/cesta/"
					if rand.Float64() < 0.4 {
						path = "/serie/"
					}
					mu.Lock()
					asked[id] = true
					mu.Unlock()
					x := k.ask(m, s.rec, "GET", path+id, id, 1500*time.Millisecond, "")
					s.rec.line("client sent GET %s to %s at %.3f s: %v", id, m.name, x.at.Seconds(), x.answer)
				}
			}()
		}
	}
	time.Sleep(4 * time.Second) // stableWindowS and more
	crashed := time.Now()
	if s.trouble {
		var next []*upstream
		old := slices.Clone(s.upstreams[:replaced])
		for _, u := range old {
			u.crash()
			s.rec.note("%s of %s at %s crashes for good", u.id, u.service, u.address)
		}
		time.Sleep(time.Until(crashed.Add(reuseAfter + 100*time.Millisecond)))
		for k, u := range old {
			n := newUpstream(fmt.Sprintf("i-9a0%dc1f2", k), "series", u.zone, u.address, 4, work, s.rec)
			watch(n)
			next = append(next, n)
			s.store.put("servers/"+n.id, n.entry())
			s.rec.note("%s of series has the address %s now", n.id, n.address)
		}
		s.mu.Lock()
		s.upstreams = append(s.upstreams, next...)
		s.mu.Unlock()
		time.Sleep(time.Until(crashed.Add(expires)))
		for _, u := range old {
			s.store.remove("servers/" + u.id)
			s.rec.note("the entry of %s has expired", u.id)
		}
		mu.Lock()
		before = unasked
		mu.Unlock()
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.note("UNASKED: upstreams ran %d requests whose id no client sent, %d of them before the entry expired", unasked, before)
	return unasked == 0
}
