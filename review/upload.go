package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = uploadCase }

// upload sends a POST with a chunked body of n bytes on a new connection.
func upload(m *machine, l *link, path, id string, deadline time.Duration, n int) (a answer, cut bool) {
	started := time.Now()
	c, err := net.DialTimeout("tcp", m.frontend(), time.Second)
	if err != nil {
		a.err = err
		return a, false
	}
	defer c.Close()
	_ = c.SetDeadline(started.Add(deadline))
	out := bufio.NewWriterSize(c, 64<<10)
	fmt.Fprintf(out, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, hostName, id, deadline.Milliseconds())
	piece := make([]byte, 32<<10)
	for left := n; left > 0; {
		k := min(left, len(piece))
		l.wait(k)
		fmt.Fprintf(out, "%x\r\n", k)
		_, _ = out.Write(piece[:k])
		if _, err = io.WriteString(out, "\r\n"); err != nil {
			break
		}
		left -= k
	}
	_, _ = io.WriteString(out, "0\r\n\r\n")
	err = out.Flush()
	r, readErr := http.ReadResponse(bufio.NewReader(c), nil)
	if readErr == nil {
		a.status, a.retryS = r.StatusCode, r.Header.Get("Retry-After")
		data, _ := io.ReadAll(r.Body)
		a.body = string(data)
		a.took = time.Since(started)
		return a, false
	}
	if err == nil {
		err = readErr
	}
	var timeout net.Error
	a.err, a.took = err, time.Since(started)
	return a, !(errors.As(err, &timeout) && timeout.Timeout())
}

// uploadCase: a client sends long bodies in chunks, one after the other, beside the
// ordinary clients. The platform kills a process whose memory exceeds memoryMb.
func uploadCase(c *setup) bool {
	const (
		workers = 30 // ordinary clients of a machine
		length  = 80 * time.Second
		low     = 30_000_000
		high    = 54_000_000 // bytes; maxBodyBytes is 67,108,864
	)
	s := newScene(c, 2)
	s.addService("centinela", 300)
	s.addRoute("estado", "/estado/", "safe", "centinela", 1.5, 0.6, 2, 2)
	s.addRoute("aviso", "/aviso/", "unsafe", "centinela", 4, 0.8, 1, 2)
	s.addUpstreams("centinela", 14, 6, func() time.Duration { return time.Duration(100+rand.IntN(180)) * time.Millisecond })
	l := newLedger()
	for _, u := range s.upstreams {
		u.onRun = func(r *http.Request, _ []byte) {
			l.addRun(r.Header.Get("X-Request-Id"), run{u, s.rec.now(), true})
		}
	}
	s.startAll()
	end := time.Now().Add(length)
	var all sync.WaitGroup
	var mu sync.Mutex
	peak, kills := map[*machine]int{}, 0
	for _, m := range s.machines {
		all.Add(1)
		go func() { // the platform: looks at the memory all the time
			defer all.Done()
			for time.Now().Before(end) {
				anon := m.statusKB("RssAnon")
				mu.Lock()
				peak[m] = max(peak[m], anon)
				mu.Unlock()
				if anon > m.memoryMB<<10 {
					m.signal(syscall.SIGKILL)
					<-m.done
					s.rec.note("%s had %d KB of memory, memoryMb=%d allows %d KB: killed by the platform", m.name, anon, m.memoryMB, m.memoryMB<<10)
					mu.Lock()
					kills++
					mu.Unlock()
					time.Sleep(300 * time.Millisecond)
					m.start()
					m.awaitReady(5 * time.Second)
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	all.Add(1)
	go func() { // the upstreams' entries
		defer all.Done()
		for time.Now().Before(end) {
			time.Sleep(1500 * time.Millisecond)
			s.beat()
		}
	}()
	for _, m := range s.machines {
		for range workers {
			all.Add(1)
			go func() {
				defer all.Done()
				var k kept
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Float64() * 0.6 * float64(time.Second)))
					method, kind, deadline := "GET", "estado", 1500*time.Millisecond
					if rand.Float64() < 0.25 {
						method, kind, deadline = "POST", "aviso", 2000*time.Millisecond
					}
					id := s.id()
					x := k.ask(m, s.rec, method, "/"+kind+"/"+id, id, deadline, "body of "+id)
					s.rec.line("client sent %s %s to %s at %.3f s, kept connection %v: %v", method, id, m.name, x.at.Seconds(), x.onKept, x.answer)
					l.addSent(x)
				}
			}()
		}
	}
	all.Add(1)
	go func() { // the client with long bodies
		defer all.Done()
		time.Sleep(3 * time.Second)
		line := &link{perS: 750e6 / 8}
		for time.Now().Before(end.Add(-5 * time.Second)) {
			m, id, n := s.machines[rand.IntN(len(s.machines))], s.id(), low+rand.IntN(high-low+1)
			if !s.trouble {
				n = 24_000 // the longest body of the ordinary clients
			}
			a, cut := upload(m, line, "/aviso/"+id, id, 4*time.Second, n)
			s.rec.line("client sent POST %s to %s with %d bytes in chunks: %v, cut %v", id, m.name, n, a, cut)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	all.Wait()
	for _, m := range s.machines {
		s.rec.note("%s: memory at its peak %d KB of %d KB", m.name, peak[m], m.memoryMB<<10)
	}
	s.rec.note("%d requests of ordinary clients, %d processes over their memory", len(l.sent), kills)
	held := true
	for _, m := range s.machines {
		var lost []string
		unsafe := 0
		for _, x := range l.sent {
			if x.machine == m && x.cut && x.onKept && len(l.runs[x.id]) > 0 {
				lost = append(lost, x.id)
				if x.method == "POST" {
					unsafe++
				}
			}
		}
		s.rec.note("LOST at %s: %d requests from kept connections were passed on to a sound upstream and got no answer, %d of them unsafe; more than 3 break the rule",
			m.name, len(lost), unsafe)
		s.rec.line("they are: %s", strings.Join(lost, " "))
		held = held && len(lost) <= 3
	}
	return held
}
