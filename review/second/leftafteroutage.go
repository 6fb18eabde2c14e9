package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["left-after-outage"] = leftAfterOutage }

// leftAfterOutage: the store answers nothing for some seconds. When it has been sound for
// stableWindowS again, upstreams leave that never report draining. They serve for drainS and
// a little longer, and then exit.
func leftAfterOutage(r *run) (verdict, error) {
	const (
		machines     = 3
		rounds       = 7
		outage       = 6 * time.Second
		stableWindow = 3 * time.Second
		drain        = 2 * time.Second
		perRound     = 3
		upstreams    = 12
		exitAfter    = drain + 120*time.Millisecond
		work         = 100 * time.Millisecond
	)
	services := []string{"field"}
	number := 0
	add := func() (*upstream, error) {
		number++
		return newUpstream(r, fmt.Sprintf("i-field-%d", number), "field", []string{"poa-a", "poa-b"}[number%2], 4, work)
	}
	var live []*upstream
	for range upstreams {
		u, err := add()
		if err != nil {
			return verdict{}, err
		}
		live = append(live, u)
	}
	r.putConfig(3, services, []route{{name: "r", prefix: "/r/", kind: "unsafe", service: "field", timeoutS: 1, targetS: 0.5, priority: 1, attempts: 2}})
	if err := r.startInstances(machines); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var prices, lost tally
	var all sync.WaitGroup
	for _, i := range r.instances {
		for range 20 {
			all.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := c.send(http.MethodPost, "/r/x", "price=1", time.Second)
					prices.add(a)
					if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || a.status == 0 {
						lost.add(a)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	late, broken := 0, 0
	for round := range rounds {
		if r.trouble {
			r.rec.line("the store answers nothing")
			r.store.setSilent(true)
		}
		time.Sleep(outage)
		if r.trouble {
			r.rec.line("the store answers again")
			r.store.setSilent(false)
		}
		time.Sleep(stableWindow + 20*time.Millisecond)
		leaving := live[:perRound]
		for _, u := range leaving {
			u.leave()
		}
		time.Sleep(exitAfter)
		for _, u := range leaving {
			u.close()
		}
		n := 0
		for _, u := range leaving {
			n += u.lateArrivals(drain)
		}
		r.rec.line("round %d: %d requests reached upstreams later than %v after their leaving was acknowledged", round+1, n, drain)
		late += n
		if n > 0 {
			broken++
		}
		live = live[perRound:]
		for range perRound {
			u, err := add()
			if err != nil {
				return verdict{}, err
			}
			live = append(live, u)
		}
	}
	close(stop)
	all.Wait()
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests in %d of %d rounds reached upstreams later than %v after the store had acknowledged that they are gone; %d of %d prices were cut off",
		late, broken, rounds, drain, lost.sent, prices.sent)}, nil
}
