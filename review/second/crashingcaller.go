package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crashing-caller"] = crashingCaller }

// crashingCaller: one caller's request for a path crashes each upstream that begins to run
// it, and comes again. Other callers ask for the same path, and their requests crash nothing.
func crashingCaller(r *run) (verdict, error) {
	const (
		crasher      = "caller-7"
		path         = "/basket/mine"
		stableWindow = 3 * time.Second
		end          = 40 * time.Second
	)
	var mu sync.Mutex
	var crashes []time.Duration // of upstreams by the request, since the start of the case
	arrivals := 0
	isCrashing := func(q *http.Request) bool {
		if q.Header.Get("Authorization") != "Bearer "+crasher || q.URL.Path != path {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals++
		if r.trouble {
			crashes = append(crashes, r.rec.now())
		}
		return r.trouble
	}
	services := []string{"field"}
	for n := range 12 {
		u, err := newUpstream(r, fmt.Sprintf("i-field-%d", n), "field", []string{"poa-a", "poa-b"}[n%2], 4, 76*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		u.crashes = isCrashing
	}
	r.putConfig(3, services, []route{
		{name: "r-basket", prefix: "/basket/", kind: "safe", service: "field", timeoutS: 0.8, targetS: 0.25, priority: 2, attempts: 2},
		{name: "r-price", prefix: "/price/", kind: "unsafe", service: "field", timeoutS: 1, targetS: 0.3, priority: 1, attempts: 2}})
	if err := r.startInstances(3); err != nil {
		return verdict{}, err
	}
	begin := r.rec.now()
	var all sync.WaitGroup
	var prices, lost tally
	for k, i := range r.instances {
		for n := range 4 {
			all.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec, caller: fmt.Sprintf("caller-%d", 100+10*k+n), from: r.clientIP(100 + 10*k + n)}
				defer c.close()
				for r.rec.now()-begin < end {
					c.send(http.MethodGet, path, "", 800*time.Millisecond)
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
		for n := range 2 {
			all.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec, caller: fmt.Sprintf("caller-%d", 200+10*k+n), from: r.clientIP(200 + 10*k + n)}
				defer c.close()
				for r.rec.now()-begin < end {
					a := c.send(http.MethodPost, "/price/", fmt.Sprintf("price=%s", r.rec.now()), time.Second)
					prices.add(a)
					if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || a.status == 0 {
						lost.add(a)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	sleepUntil := begin + 5*time.Second
	time.Sleep(sleepUntil - r.rec.now())
	for n := 0; r.rec.now()-begin < end; n++ { // the client picks another machine each time
		i := r.instances[n%len(r.instances)]
		c := &client{address: i.at(i.ports.frontend), rec: r.rec, caller: crasher, from: r.clientIP(7)}
		c.send(http.MethodGet, path, "", 800*time.Millisecond)
		c.close()
		time.Sleep(time.Second)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range crashes[3:] {
			if at > crashes[2]+stableWindow {
				late++
			}
		}
	}
	text := fmt.Sprintf("the request reached upstreams %d times and crashed %d, %d of them later than %v after the third; %d of %d prices of others were cut off",
		arrivals, len(crashes), late, stableWindow, lost.sent, prices.sent)
	if arrivals == 0 {
		return verdict{}, fmt.Errorf("the request reached no upstream")
	}
	return verdict{broken: late > 3, text: text}, nil
}
