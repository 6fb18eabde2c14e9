package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID: two upstreams crash for good, and their addresses go to upstreams of another
// service, which start under the ids that were in use there.
func sameID(r *run) (verdict, error) {
	const (
		reuseAfter = 2 * time.Second
		registers  = 800 * time.Millisecond // after its start; heartbeatS is 1.5
		end        = 14 * time.Second
	)
	services := []string{"archive", "field"}
	healthPaths["archive"], healthPaths["field"] = "/alive", "/healthz"
	var field, all []*upstream
	for n := range 8 {
		zone := []string{"poa-a", "poa-b"}[n%2]
		for _, service := range services {
			u, err := newUpstream(r, fmt.Sprintf("i-%s-%d", service, n), service, zone, 4, 60*time.Millisecond)
			if err != nil {
				return verdict{}, err
			}
			if all = append(all, u); service == "field" {
				field = append(field, u)
			}
		}
	}
	r.putConfig(3, services, []route{
		{name: "r-field", prefix: "/field/", kind: "safe", service: "field", timeoutS: 0.8, targetS: 0.25, priority: 2, attempts: 2},
		{name: "r-archive", prefix: "/archive/", kind: "safe", service: "archive", timeoutS: 1.5, targetS: 0.6, priority: 2, attempts: 2}})
	if err := r.startInstances(6); err != nil {
		return verdict{}, err
	}
	begin := r.rec.now()
	var clients sync.WaitGroup
	for _, i := range r.instances {
		for n := range 4 {
			clients.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec}
				defer c.close()
				for r.rec.now()-begin < end {
					c.send(http.MethodGet, []string{"/field/x", "/archive/x"}[n%2], "", 800*time.Millisecond)
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		for _, old := range field[:2] {
			old.close() // crashes for good; its entry stays until three heartbeats are missed
			r.rec.line("%s crashes for good", old.id)
		}
		time.Sleep(reuseAfter + 100*time.Millisecond)
		for _, old := range field[:2] {
			u, err := startUpstream(r, old.listener.Addr().String(), old.id, "archive", old.zone, 4, 60*time.Millisecond)
			if err != nil {
				return verdict{}, err
			}
			r.rec.line("%s starts at the same address, of the service archive", u.id)
			all = append(all, u)
			time.AfterFunc(registers, func() {
				u.register("ready")
				r.rec.line("%s has registered itself", u.id)
			})
		}
	}
	clients.Wait()
	unasked := 0
	for _, u := range all {
		for _, id := range u.ids() {
			if !strings.HasPrefix(id, "q") {
				unasked++
				r.rec.line("%s (%s) ran %s, which no client sent", u.id, u.service, id)
			}
		}
	}
	return verdict{broken: unasked > 0, text: fmt.Sprintf("upstreams ran %d requests that no client sent", unasked)}, nil
}
