package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["killer"] = killerCase }

// killerCase: as in seedsCase, the machines that run do not know each other. Then a request
// comes that crashes each upstream that begins to run it, again and again.
func killerCase(c *setup) bool {
	const (
		machines  = 8
		upstreams = 14
		backAfter = 3 * time.Second // of a crashed upstream
		killerAt  = 15 * time.Second
		length    = 70 * time.Second
		comesEach = 1500 * time.Millisecond
	)
	s := newScene(c, machines)
	s.addService("centinela", 300)
	s.addRoute("estado", "/estado/", "safe", "centinela", 1.5, 0.6, 2, 2)
	s.addRoute("aviso", "/aviso/", "unsafe", "centinela", 1.2, 0.8, 1, 2)
	s.addUpstreams("centinela", upstreams, 6, func() time.Duration { return time.Duration(100+rand.IntN(100)) * time.Millisecond })
	l := newLedger()
	var mu sync.Mutex
	var crashes, begun []time.Duration
	crashedUnder := map[string]bool{} // requests at an upstream that crashed
	askedOf := map[string]*machine{}
	running := map[*upstream]map[string]bool{}
	start := time.Now()
	end := start.Add(length)
	var watch func(u *upstream)
	watch = func(u *upstream) {
		mu.Lock()
		running[u] = map[string]bool{}
		mu.Unlock()
		u.onRun = func(r *http.Request, _ []byte) {
			id := r.Header.Get("X-Request-Id")
			l.addRun(id, run{u, s.rec.now(), true})
			if !strings.HasPrefix(r.RequestURI, "/aviso/killer") {
				mu.Lock()
				running[u][id] = true
				mu.Unlock()
				return
			}
			mu.Lock()
			begun, crashes = append(begun, s.rec.now()), append(crashes, s.rec.now())
			n := len(crashes)
			for id := range running[u] {
				crashedUnder[id] = true
			}
			mu.Unlock()
			u.crash()
			s.rec.note("%s begins to run the request that crashes, sent by %s, and crashes: the %d. crash", u.id, askedOf[id].name, n)
			go func() {
				time.Sleep(backAfter)
				s.replace(u, watch)
			}()
		}
		u.answerWith = u.forget(func(id string) {
			mu.Lock()
			delete(running[u], id)
			mu.Unlock()
		})
	}
	for _, u := range s.upstreams {
		watch(u)
	}
	s.startAll()
	start = time.Now()
	end = start.Add(length)
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
	for _, m := range rest {
		for range 12 {
			all.Add(1)
			go func() {
				defer all.Done()
				var k kept
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Float64() * 0.6 * float64(time.Second)))
					id, method, kind := s.id(), "GET", "estado"
					if rand.Float64() < 0.25 {
						method, kind = "POST", "aviso"
					}
					mu.Lock()
					askedOf[id] = m
					mu.Unlock()
					x := k.ask(m, s.rec, method, "/"+kind+"/"+id, id, 1500*time.Millisecond, "body of "+id)
					s.rec.line("client sent %s %s to %s at %.3f s: %v", method, id, m.name, x.at.Seconds(), x.answer)
					l.addSent(x)
				}
			}()
		}
	}
	all.Add(1)
	go func() { // the request that crashes comes again with the same path, caller and body, at any machine
		defer all.Done()
		time.Sleep(killerAt)
		for time.Now().Before(end) {
			m, id := rest[rand.IntN(len(rest))], s.id()
			mu.Lock()
			askedOf[id] = m
			mu.Unlock()
			var k kept
			x := k.ask(m, s.rec, "POST", "/aviso/killer", id, 1500*time.Millisecond, "the same body each time")
			s.rec.line("the request that crashes: client sent POST %s to %s at %.3f s: %v", id, m.name, x.at.Seconds(), x.answer)
			if k.conn != nil {
				_ = k.conn.Close()
			}
			time.Sleep(comesEach)
		}
	}()
	all.Wait()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range begun {
			if at > crashes[2]+3*time.Second {
				late++
			}
		}
	}
	failed := 0
	for _, x := range l.sent {
		if crashedUnder[x.id] && x.method == "POST" && x.answer.status != 200 {
			failed++
		}
	}
	s.rec.note("%d crashes; %d unsafe requests of other clients were at work at an upstream that crashed and got no success", len(crashes), failed)
	s.rec.note("BUDGET: the request reached upstreams %d times later than 3 s after it had crashed the third; more than 3 break the rule", late)
	return late <= 3
}

// forget calls done with each request that the upstream has run, and leaves the answer as it is.
func (u *upstream) forget(done func(id string)) func(net_ netConn, r *http.Request, body []byte) (bool, bool) {
	return func(_ netConn, r *http.Request, _ []byte) (bool, bool) {
		done(r.Header.Get("X-Request-Id"))
		return false, false
	}
}
