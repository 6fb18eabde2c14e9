package main

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const hostName = "ficu95.example"

// scene is a small deployment: machines, upstreams of one service, and the store.
type scene struct {
	*setup
	store     *store
	machines  []*machine
	upstreams []*upstream
	routes    []map[string]any
	services  []map[string]any
	version   int
	limits    map[string]any
	ids       atomic.Int64
	replaced  int
	silent    map[string]bool // ids of upstreams that don't write to the store
	quit      chan struct{}
	mu        sync.Mutex // guards upstreams
}

type netConn = net.Conn

// replace takes a crashed upstream away and starts another incarnation, with a new id, in
// its place. The entry of the old one expires three heartbeats after the last.
func (s *scene) replace(u *upstream, prepare func(*upstream)) {
	s.mu.Lock()
	k := slices.Index(s.upstreams, u)
	s.replaced++
	next := newUpstream(fmt.Sprintf("i-%04x%04x", 0x1000+s.replaced, k), u.service, u.zone,
		net.JoinHostPort(strings.Split(u.address, ":")[0], strconv.Itoa(freePorts([]string{strings.Split(u.address, ":")[0]}, 1)[0])), u.slots, u.work, s.rec)
	prepare(next)
	s.upstreams[k] = next
	s.mu.Unlock()
	s.store.put("servers/"+next.id, next.entry())
	time.Sleep(1500 * time.Millisecond)
	s.store.remove("servers/" + u.id)
}

var zones = []string{"oviedo", "santander", "pamplona"}

func newScene(c *setup, machines int) *scene {
	storeIP := fmt.Sprintf("127.%d.200.7", subnet())
	s := &scene{setup: c, silent: map[string]bool{}, quit: make(chan struct{})}
	s.store = newStore(net.JoinHostPort(storeIP, strconv.Itoa(freePorts([]string{storeIP}, 1)[0])))
	s.limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
	s.machines = newMachines(c.dir, machines, zones, s.store.address)
	onExit(func() {
		for _, m := range s.machines {
			m.kill()
		}
	})
	return s
}

func (s *scene) addService(name string, maxConnections int) {
	s.addServiceWith(name, maxConnections, "/healthz")
}

func (s *scene) addServiceWith(name string, maxConnections int, healthPath string) {
	s.services = append(s.services, map[string]any{"entryKind": "services", "metadata": map[string]any{"name": name},
		"spec": map[string]any{"healthPath": healthPath, "maxConnections": maxConnections, "protocol": "h1", "tls": false}})
}

func (s *scene) addRoute(name, prefix, kind, service string, timeoutS, latencyS float64, priority, maxAttempts int) {
	s.routes = append(s.routes, map[string]any{"entryKind": "routes", "metadata": map[string]any{"name": name},
		"spec": map[string]any{"host": hostName, "prefix": prefix, "routeKind": kind, "timeoutS": timeoutS, "targetLatencyS": latencyS,
			"priority": priority, "service": service, "maxAttempts": maxAttempts}})
}

// putConfig writes the configuration under the next version.
func (s *scene) putConfig() { s.store.put("op/config", s.nextConfig()) }

// nextConfig returns the configuration under the next version.
func (s *scene) nextConfig() []byte {
	s.version += 3
	list := append(append([]map[string]any{}, s.routes...), s.services...)
	list = append(list, map[string]any{"entryKind": "limits", "metadata": map[string]any{}, "spec": s.limits})
	value, err := json.Marshal(map[string]any{"version": s.version, "resources": list})
	check(err)
	return value
}

// addUpstreams starts n upstreams of a service, on addresses of their own.
func (s *scene) addUpstreams(service string, n, slots int, work func() time.Duration) {
	for range n {
		k := len(s.upstreams)
		ip := fmt.Sprintf("127.%d.100.%d", subnet(), 10+k)
		address := net.JoinHostPort(ip, strconv.Itoa(freePorts([]string{ip}, 1)[0]))
		s.upstreams = append(s.upstreams, newUpstream(fmt.Sprintf("i-%04x%04x", 0x7f3a+k*977, k), service, zones[k%len(zones)], address, slots, work, s.rec))
	}
}

// beat lets all upstreams write to the store every 1.5 s.
func (s *scene) beat() {
	s.mu.Lock()
	list := slices.Clone(s.upstreams)
	s.mu.Unlock()
	for _, u := range list {
		if !u.crashed.Load() {
			s.store.put("servers/"+u.id, u.entry())
		}
	}
}

// startAll starts the machines and waits until all are ready.
func (s *scene) startAll() {
	s.putConfig()
	s.beat()
	for _, m := range s.machines {
		m.start()
	}
	for _, m := range s.machines {
		if !m.awaitReady(15 * time.Second) {
			check(fmt.Errorf("%s is not ready", m.name))
		}
		m.bootstrap = false // as the platform's settings say at later starts
	}
	s.rec.note("%d machines ready", len(s.machines))
}

func (s *scene) id() string { return fmt.Sprintf("9c41d07b%08x", s.ids.Add(1)) }
