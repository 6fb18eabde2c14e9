package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["download-twice"] = downloadTwice }

// downloadTwice: upstreams run requests of a route of the kind download and lose some of
// their answers.
func downloadTwice(r *run) (verdict, error) {
	const (
		lostShare = 0.3 // of the answers of 4 of 8 upstreams
		lostFrom  = 8 * time.Second
		lostFor   = 6 * time.Second
		end       = 20 * time.Second
	)
	services := []string{"archivo-lotes"}
	var upstreams []*upstream
	var begin atomic.Int64 // of the traffic, since the start of the case
	loses := func() bool {
		at := r.rec.now() - time.Duration(begin.Load()) - lostFrom
		return at >= 0 && at < lostFor && rand.Float64() < lostShare
	}
	for n := range 8 {
		u, err := newUpstream(r, fmt.Sprintf("i-archivo-%d", n), services[0], []string{"poa-a", "poa-b"}[n%2], 8, 100*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		u.slowness = 140 // as on busy machines; such upstreams get no hedged requests
		if r.trouble && n < 4 {
			u.losesAnswer = loses
		}
		upstreams = append(upstreams, u)
	}
	r.putConfig(3, services, []route{{name: "r-dossier", prefix: "/dossier/", kind: "download", service: services[0], timeoutS: 4, targetS: 2, priority: 2, attempts: 2}})
	if err := r.startInstances(2); err != nil {
		return verdict{}, err
	}
	begin.Store(int64(r.rec.now()))
	var sent tally
	var all sync.WaitGroup
	for _, i := range r.instances {
		for range 6 {
			all.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec}
				defer c.close()
				for r.rec.now()-time.Duration(begin.Load()) < end {
					sent.add(c.send(http.MethodGet, "/dossier/7", "", 4*time.Second))
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	runs := make(map[string]int)
	for _, u := range upstreams {
		u.mu.Lock()
		for id, n := range u.runs {
			runs[id] += n
		}
		u.mu.Unlock()
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.rec.line("%s was run %d times", id, n)
		}
	}
	return verdict{broken: twice > 0, text: fmt.Sprintf("%d of %d requests of the kind download ran more than once", twice, sent.sent)}, nil
}
