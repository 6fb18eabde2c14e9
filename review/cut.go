package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut"] = cutCase }

// cutCase: an upstream in need names the requests a second that it takes, in its answers to
// requests. Then it is cut off from the store for some seconds, so that its entry expires and
// comes back.
func cutCase(c *setup) bool {
	const (
		machines  = 20
		perSecond = 1.3 // Server-Limit
		clients   = 5   // of each machine
		cutAt     = 12 * time.Second
		cutFor    = 5 * time.Second
		expires   = 4500 * time.Millisecond // three heartbeat intervals
		length    = 26 * time.Second
		window    = 4 * time.Second
	)
	s := newScene(c, machines)
	s.addService("centinela", 300)
	s.addRoute("estado", "/estado/", "safe", "centinela", 1.5, 0.6, 2, 2)
	s.addUpstreams("centinela", 6, 6, func() time.Duration { return time.Duration(100+rand.IntN(100)) * time.Millisecond })
	needy := s.upstreams[0]
	needy.headers = func(probe bool) string {
		if probe {
			return ""
		}
		return fmt.Sprintf("Server-Limit: %v\r\n", perSecond)
	}
	var mu sync.Mutex
	var firstNamed time.Duration
	askedOf := map[string]*machine{}           // machine by request ID
	passedOn := map[*machine]time.Duration{}   // first answer with the limit that it passed on
	arrivals := map[*machine][]time.Duration{} // at the upstream in need
	named := map[string]bool{}                 // requests that the upstream answered with the limit
	needy.onRun = func(r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		if firstNamed == 0 {
			firstNamed = s.rec.now()
		}
		id := r.Header.Get("X-Request-Id")
		arrivals[askedOf[id]] = append(arrivals[askedOf[id]], s.rec.now())
		named[id] = true
	}
	s.startAll()
	start := time.Now()
	end := start.Add(length)
	var all sync.WaitGroup
	all.Add(1)
	go func() { // the upstreams' entries
		defer all.Done()
		last, expired := start, false
		for n := 1; time.Now().Before(end); n++ {
			time.Sleep(time.Until(start.Add(time.Duration(n) * 500 * time.Millisecond)))
			at := time.Since(start)
			cut := s.trouble && at >= cutAt && at < cutAt+cutFor
			if cut && !expired && time.Since(last) >= expires {
				s.store.remove("servers/" + needy.id)
				expired = true
				s.rec.note("the entry of %s has expired", needy.id)
			}
			if n%3 != 0 {
				continue
			}
			for _, u := range s.upstreams {
				if u == needy && cut {
					continue
				}
				s.store.put("servers/"+u.id, u.entry())
				if u == needy {
					last = time.Now()
					if expired {
						s.rec.note("%s writes to the store again", u.id)
						expired = false
					}
				}
			}
		}
	}()
	for _, m := range s.machines {
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
	allowed := 1.5*perSecond*window.Seconds() + 5
	var counted []time.Duration
	for m, list := range arrivals {
		told, ok := passedOn[m]
		for _, at := range list {
			if ok && at > told+500*time.Millisecond && at > firstNamed+3*time.Second {
				counted = append(counted, at)
			}
		}
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
	s.rec.note("%d machines had passed the limit on", len(passedOn))
	s.rec.note("LIMIT: %d requests reached %s in the 4 s from %.3f s on; its limit of %v a second allows %.0f", most, needy.id, mostAt.Seconds(), perSecond, allowed)
	return float64(most) <= allowed
}
