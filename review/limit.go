package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["seeds"] = seedsCase }

// seedsCase: all machines lose power at once, and the three that the seeds name do not
// come back. Later an upstream in need names the requests a second that it takes.
func seedsCase(c *setup) bool {
	const (
		machines  = 8
		perSecond = 5.0 // Server-Limit
		clients   = 12  // of each machine
		needAt    = 25 * time.Second
		length    = 50 * time.Second
	)
	s := newScene(c, machines)
	s.addService("centinela", 300)
	s.addRoute("estado", "/estado/", "safe", "centinela", 1.5, 0.6, 2, 2)
	s.addUpstreams("centinela", 6, 6, func() time.Duration { return time.Duration(100+rand.IntN(100)) * time.Millisecond })
	var needs atomic.Bool
	needy := s.upstreams[0]
	needy.headers = func(bool) string {
		if needs.Load() {
			return "Server-Limit: 5\r\n"
		}
		return ""
	}
	var mu sync.Mutex
	var firstNamed time.Duration
	askedOf := map[string]*machine{}           // machine by request ID
	passedOn := map[*machine]time.Duration{}   // first answer with the limit that it passed on
	arrivals := map[*machine][]time.Duration{} // at the upstream in need, while it named the limit
	named := map[string]bool{}                 // requests that the upstream answered with the limit
	needy.onRun = func(r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		if needs.Load() {
			if firstNamed == 0 {
				firstNamed = s.rec.now()
			}
			id := r.Header.Get("X-Request-Id")
			arrivals[askedOf[id]] = append(arrivals[askedOf[id]], s.rec.now())
			named[id] = true
		}
	}
	s.startAll()
	start := time.Now()
	end := start.Add(length)
	var all sync.WaitGroup
	all.Add(1)
	go func() { // the upstreams' entries
		defer all.Done()
		for time.Now().Before(end) {
			time.Sleep(1500 * time.Millisecond)
			s.beat()
		}
	}()
	rest := s.machines[3:]
	if s.trouble {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(5 * time.Second)
			s.losePower(rest)
		}()
	}
	all.Add(1)
	go func() {
		defer all.Done()
		time.Sleep(needAt)
		needs.Store(true)
		s.rec.note("%s names Server-Limit: %v from now on", needy.id, perSecond)
	}()
	for _, m := range rest {
		for range clients {
			all.Add(1)
			go func() {
				defer all.Done()
				var k kept
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Float64() * 0.6 * float64(time.Second)))
					id := s.id()
					mu.Lock()
					askedOf[id] = m
					mu.Unlock()
					x := k.ask(m, s.rec, "GET", "/estado/"+id, id, 1500*time.Millisecond, "")
					s.rec.line("client sent %s to %s at %.3f s: %v", id, m.name, x.at.Seconds(), x.answer)
					mu.Lock()
					if named[id] && x.answer.err == nil && x.answer.status == 200 && passedOn[m] == 0 {
						passedOn[m] = s.rec.now()
					}
					mu.Unlock()
				}
			}()
		}
	}
	all.Wait()
	const window = 4 * time.Second
	allowed := 1.5*perSecond*window.Seconds() + 5
	var counted []time.Duration
	for m, list := range arrivals {
		told, ok := passedOn[m]
		n := 0
		for _, at := range list {
			if ok && at > told+500*time.Millisecond && at > firstNamed+3*time.Second {
				counted = append(counted, at)
				n++
			}
		}
		s.rec.note("%s sent %d requests to %s after it had passed its limit on", m.name, n, needy.id)
	}
	most := 0
	var mostAt time.Duration
	for _, from := range counted {
		n := 0
		for _, at := range counted {
			if at >= from && at < from+window {
				n++
			}
		}
		if n > most {
			most, mostAt = n, from
		}
	}
	held := float64(most) <= allowed
	s.rec.note("LIMIT: %d requests reached %s in the 4 s from %.3f s on; its limit of %v a second allows %.0f", most, needy.id, mostAt.Seconds(), perSecond, allowed)
	return held
}
