package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slow-route"] = slowRoute }

// slowRoute: the upstreams of a service work five times as long for 9 s. Meanwhile the
// operator shortens the time-out of its route to a time that is ample before and after.
func slowRoute(r *run) (verdict, error) {
	services := []string{"archive", "field"}
	var arch []*upstream
	for n := range 4 {
		zone := []string{"poa-a", "poa-b"}[n%2]
		u, err := newUpstream(r, fmt.Sprintf("i-archive-%d", n), "archive", zone, 16, 300*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		arch = append(arch, u)
		if _, err := newUpstream(r, fmt.Sprintf("i-field-%d", n), "field", zone, 16, 50*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	first := route{name: "r-first", prefix: "/first/", kind: "safe", service: "field", timeoutS: 1, targetS: 0.3, priority: 1, attempts: 2}
	added := route{name: "r-added", prefix: "/added/", kind: "unsafe", service: "archive", timeoutS: 4, targetS: 0.6, priority: 1, attempts: 2}
	r.putConfig(3, services, []route{first})
	if err := r.startInstances(2); err != nil {
		return verdict{}, err
	}
	r.putConfig(5, services, []route{first, added})
	time.Sleep(2500 * time.Millisecond)

	const (
		measureFrom = 30 * time.Second
		end         = 50 * time.Second
	)
	begin := r.rec.now()
	counts := map[string]*tally{"/first/": {}, "/added/": {}}
	var all sync.WaitGroup
	for _, i := range r.instances {
		for prefix := range counts {
			for range 8 {
				all.Go(func() {
					c := &client{address: i.at(i.ports.frontend), rec: r.rec}
					defer c.close()
					for r.rec.now()-begin < end {
						method, body := http.MethodGet, ""
						if prefix == "/added/" {
							method, body = http.MethodPost, "price=1"
						}
						a := c.send(method, prefix+"x", body, 5*time.Second)
						if a.sentAt-begin >= measureFrom {
							counts[prefix].add(a)
						}
						time.Sleep(250 * time.Millisecond)
					}
				})
			}
		}
	}
	time.Sleep(10 * time.Second)
	if r.trouble {
		for _, u := range arch {
			u.work.Store(int64(1500 * time.Millisecond))
		}
	}
	time.Sleep(8 * time.Second)
	added.timeoutS = 1
	r.putConfig(8, services, []route{first, added})
	time.Sleep(time.Second)
	for _, u := range arch {
		u.work.Store(int64(300 * time.Millisecond))
	}
	all.Wait()
	f, a := counts["/first/"], counts["/added/"]
	text := fmt.Sprintf("first route served %d of %d, added route %d of %d", f.served, f.sent, a.served, a.sent)
	if a.sent < 20 || f.sent < 20 || f.served == 0 {
		return verdict{}, fmt.Errorf("too few requests: %s", text)
	}
	share := float64(a.served) / float64(a.sent)
	return verdict{broken: share < float64(f.served)/float64(f.sent)/4, text: text}, nil
}
