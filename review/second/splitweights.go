package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["split-weights"] = splitWeights }

// splitWeights: the weights of a split change from 9900 and 100 to 3 and 1.
func splitWeights(r *run) (verdict, error) {
	services := []string{"archive", "field"}
	for n := range 4 {
		zone := []string{"poa-a", "poa-b"}[n%2]
		for _, service := range services {
			if _, err := newUpstream(r, fmt.Sprintf("i-%s-%d", service, n), service, zone, 16, 20*time.Millisecond); err != nil {
				return verdict{}, err
			}
		}
	}
	split := route{name: "r-split", prefix: "/split/", kind: "safe", split: map[string]int{"archive": 9900, "field": 100}, timeoutS: 2, targetS: 0.5,
		priority: 1, attempts: 2}
	if !r.trouble {
		split.split = map[string]int{"archive": 3, "field": 1}
	}
	r.putConfig(3, services, []route{split})
	if err := r.startInstances(2); err != nil {
		return verdict{}, err
	}
	const (
		changeAt    = 10 * time.Second
		measureFrom = 16 * time.Second // configApplyS and stableWindowS have passed
		end         = 36 * time.Second
	)
	begin := r.rec.now()
	var mu sync.Mutex
	byService := make(map[string]int)
	total, refused := 0, 0
	var all sync.WaitGroup
	for _, i := range r.instances {
		for range 4 {
			all.Go(func() {
				c := &client{address: i.at(i.ports.frontend), rec: r.rec}
				defer c.close()
				for r.rec.now()-begin < end {
					a := c.send(http.MethodGet, "/split/x", "", 2*time.Second)
					if a.sentAt-begin >= measureFrom {
						mu.Lock()
						total++
						var id, upstream string
						if _, err := fmt.Sscanf(a.body, "done %s i-%s", &id, &upstream); err == nil && a.ok() {
							byService[upstream[:len(upstream)-len("-0")]]++
						} else {
							refused++
						}
						mu.Unlock()
					}
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(changeAt)
	if r.trouble {
		split.split = map[string]int{"archive": 3, "field": 1}
		r.putConfig(7, services, []route{split})
	}
	all.Wait()
	text := fmt.Sprintf("of %d requests archive ran %d and field %d at weights 3 and 1; %d were not served", total, byService["archive"], byService["field"], refused)
	if total < 200 || refused > 0 {
		return verdict{}, fmt.Errorf("not the time that the rule means: %s", text)
	}
	off := float64(byService["archive"])/float64(total) - 0.75
	return verdict{broken: off > 0.2 || off < -0.2, text: text}, nil
}
