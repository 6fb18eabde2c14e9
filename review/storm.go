package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["storm"] = stormCase }

// stormCase: the configuration has grown by many routes, and then versions come in quick
// succession, each with one route more. Clients ask for the last new route.
func stormCase(c *setup) bool {
	const (
		growths    = 12 // big_config
		growth     = 350
		gap        = 60 * time.Millisecond // config_storm
		length     = 1500 * time.Millisecond
		apply      = 2 * time.Second // configApplyS
		valueBytes = 1 << 20
		watched    = 24 * time.Second
	)
	s := newScene(c, 6)
	s.store.keep = 20 * time.Second // historyS
	s.addService("series", 300)
	s.addRoute("serie", "/serie/", "safe", "series", 1.5, 0.6, 2, 2)
	s.addUpstreams("series", 6, 4, func() time.Duration { return 20 * time.Millisecond })
	var largest, failing int
	var mu sync.Mutex
	s.store.onWatch = func(events, bytes int) {
		mu.Lock()
		defer mu.Unlock()
		largest = max(largest, bytes)
		if bytes > 100_000 || events < 0 {
			s.rec.line("the store answers a watch with %d events, %d bytes", events, bytes)
		}
		if bytes > 4<<20 {
			failing++
		}
	}
	s.startAll()
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(1500 * time.Millisecond):
				s.beat()
			}
		}
	}()
	for g := range growths {
		for k := range growth {
			name := fmt.Sprintf("%05x%02d", 0x3d3a1+g*growth+k, g)
			s.addRoute("r-"+name, "/gono"+name+"/", "safe", "series", 1.5, 0.6, 2, 2)
		}
		s.putConfig()
		time.Sleep(time.Second)
	}
	size := len(s.store.value("op/config"))
	s.rec.note("the configuration has %d routes and %d bytes", len(s.routes), size)
	if size > valueBytes {
		check(fmt.Errorf("a configuration of %d bytes", size))
	}
	versions := 1
	if s.trouble {
		versions = int(length / gap)
	}
	var values [][]byte // encoded before, so that the gap is kept
	path := ""
	for v := range versions {
		path = "/neu" + strconv.Itoa(100+v) + "/"
		s.addRoute("r-neu"+strconv.Itoa(100+v), path, "safe", "series", 1.5, 0.6, 2, 2)
		values = append(values, s.nextConfig())
	}
	time.Sleep(3 * time.Second) // stableWindowS
	begin := time.Now()
	for v, value := range values {
		time.Sleep(time.Until(begin.Add(time.Duration(v) * gap)))
		s.store.put("op/config", value)
		s.rec.line("version %d of %d acknowledged", v+1, versions)
	}
	acknowledged := s.rec.now()
	s.rec.note("%d versions of the configuration, the last acknowledged at %.3f s, with the new route %s", versions, acknowledged.Seconds(), path)
	late, asked := 0, 0
	var lastLate time.Duration
	for s.rec.now() < acknowledged+watched {
		time.Sleep(250 * time.Millisecond)
		for _, m := range s.machines {
			id := s.id()
			sent := s.rec.now()
			a := ask(m.frontend(), "GET", hostName, path+id, id, 1500*time.Millisecond, "")
			s.rec.line("GET %s%s at %s, %.3f s after the acknowledgement: %v", path, id, m.name, (sent - acknowledged).Seconds(), a)
			if sent < acknowledged+apply+50*time.Millisecond {
				continue
			}
			asked++
			if a.err == nil && a.status == 404 {
				late++
				lastLate = sent
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	s.rec.note("largest answer to a watch: %d bytes; %d answers were over 4 MB", largest, failing)
	s.rec.note("CONFIG: of %d requests sent later than configApplyS after the acknowledgement, %d were answered 404, the last %.3f s after it",
		asked, late, max(0, (lastLate-acknowledged).Seconds()))
	return late == 0
}
