package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stops"] = stopsCase }

// stopsCase: machines are stopped and started in turn again and again, under load.
func stopsCase(c *setup) bool {
	const length = 90 * time.Second
	s := newScene(c, 6)
	s.addService("centinela", 300)
	s.addRoute("estado", "/estado/", "safe", "centinela", 1.5, 0.6, 2, 2)
	s.addRoute("aviso", "/aviso/", "unsafe", "centinela", 1.2, 0.8, 1, 2)
	s.addUpstreams("centinela", 12, 6, func() time.Duration { return time.Duration(20+rand.IntN(200)) * time.Millisecond })
	l := newLedger()
	for _, u := range s.upstreams {
		u.onRun = func(r *http.Request, _ []byte) { l.addRun(r.Header.Get("X-Request-Id"), run{u, s.rec.now(), true}) }
	}
	s.startAll()
	end := time.Now().Add(length)
	var all sync.WaitGroup
	var mu sync.Mutex
	stops, late := 0, 0
	all.Add(1)
	go func() {
		defer all.Done()
		for time.Now().Before(end) {
			time.Sleep(1500 * time.Millisecond)
			s.beat()
		}
	}()
	for i, m := range s.machines {
		if s.trouble {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(4*time.Second + time.Duration(i)*700*time.Millisecond)
				for time.Now().Before(end.Add(-8 * time.Second)) {
					m.signal(syscall.SIGTERM)
					select {
					case <-m.done:
					case <-time.After(6 * time.Second):
						s.rec.note("%s didn't end within graceS", m.name)
						mu.Lock()
						late++
						mu.Unlock()
						m.kill()
					}
					mu.Lock()
					stops++
					mu.Unlock()
					m.start()
					m.awaitReady(5 * time.Second)
					time.Sleep(300 * time.Millisecond)
				}
			}()
		}
		for range 20 {
			all.Add(1)
			go func() {
				defer all.Done()
				var k kept
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Float64() * 0.1 * float64(time.Second)))
					id, method, kind := s.id(), "GET", "estado"
					if rand.Float64() < 0.4 {
						method, kind = "POST", "aviso"
					}
					x := k.ask(m, s.rec, method, "/"+kind+"/"+id, id, 1500*time.Millisecond, "body of "+id)
					if x.cut {
						s.rec.line("client sent %s %s to %s at %.3f s, kept connection %v: %v", method, id, m.name, x.at.Seconds(), x.onKept, x.answer)
					}
					l.addSent(x)
				}
			}()
		}
	}
	all.Wait()
	lost, cut, twice, promised := 0, 0, 0, 0
	for _, x := range l.sent {
		if x.cut {
			cut++
		}
		if x.cut && len(l.runs[x.id]) > 0 {
			lost++
			s.rec.note("%s %s ran and its connection to %s ended without an answer", x.method, x.id, x.machine.name)
		}
		if x.method == "POST" && len(l.runs[x.id]) > 1 {
			twice++
		}
		if x.method == "POST" && (x.answer.status == 503 || x.answer.status == 429) && len(l.runs[x.id]) > 0 {
			promised++
		}
	}
	s.rec.note("%d requests, %d stops, %d not ended in time, %d connections closed without an answer, %d of these after a run, %d ran twice, %d refused and run",
		len(l.sent), stops, late, cut, lost, twice, promised)
	return lost+twice+promised == 0
}
