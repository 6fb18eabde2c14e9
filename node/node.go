package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/internal/callerconn"
	"github.com/dogwoodroute/dogwoodroute/metrics"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/relay"
)

// Node is one load balancer instance. Run it once; Stop and Reload may be called
// from other goroutines.
type Node struct {
	options  Options
	settings atomic.Pointer[Settings]
	gateway  *gateway.Gateway
	fleet    *fleet.Task
	ip       netip.Addr // of this instance among its peers
	metrics  *metrics.Metrics
	resolver *resolver
	relay    *relay.Client
	now      func() time.Duration // time since New
	servers  []*server
	stop     chan struct{}
	stopped  atomic.Bool
}

// New creates a node and opens its sockets.
func New(o Options) (*Node, error) {
	n := &Node{options: o, stop: make(chan struct{})}
	n.settings.Store(o.Settings)
	started := time.Now()
	n.now = func() time.Duration { return time.Since(started) }
	m, err := metrics.New(o.Settings.ID)
	if err != nil {
		return nil, errors.Wrap(err, "create metrics")
	}
	n.metrics = m
	if err := n.openFleet(); err != nil {
		return nil, err
	}
	n.gateway = gateway.New(gateway.Options{Dialect: o.Dialect, FailureDomain: o.Settings.FailureDomain, LocalAddress: o.LocalAddress,
		View: n.fleet.View, Instances: func() int { return n.fleet.Snapshot().Size },
		WeightedInstances: func() int { return n.fleet.Snapshot().EffectiveSize },
		Isolated:          func() bool { return n.fleet.Snapshot().Isolated },
		Share: func(key uint64, domain string, count int) (bool, int) {
			return n.fleet.Snapshot().Share(key, slices.Index(o.Settings.FailureDomains, domain), count)
		},
		RetryBudget: o.Settings.retryBudget(), ProbesPerTarget: o.Settings.Bounds.ProbesPerTarget,
		Warmup: o.Settings.warmupBounds(), DomainRegions: o.Settings.DomainRegions,
		MemoryBytes: o.Settings.exchangeBytes(), CallerSendBuffer: o.Settings.sendBufferBytes(),
		OnDemand: n.fleet.ReportDemand, Demand: n.fleet.Demand, Relay: n.relay, RelayPeers: n.relayPeers,
		OnFailureReport: n.fleet.ReportFailure, OnPanic: n.panicked, Log: o.Log, Metrics: m, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Now: n.now})
	if err := n.openServers(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) openFleet() error {
	s := n.options.Settings
	self, err := netip.ParseAddrPort(s.Addresses.Peers)
	if err != nil {
		return errors.Wrap(err, "parse peer address")
	}
	n.ip = self.Addr()
	listener, err := net.Listen("tcp", s.Addresses.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	seeds, err := s.seeds()
	if err != nil {
		return err
	}
	callers, err := netip.ParseAddrPort(s.Addresses.Callers)
	if err != nil {
		return errors.Wrap(err, "parse caller address")
	}
	n.resolver = &resolver{domains: s.FailureDomains, regions: s.DomainRegions, port: callers.Port()}
	n.relay = relay.NewClient(self.Port(), n.options.Identity)
	n.fleet = fleet.New(fleet.Options{Listener: listener, IP: self.Addr(), Port: self.Port(), Domains: s.FailureDomains,
		Domain: slices.Index(s.FailureDomains, s.FailureDomain), Capacity: s.Capacity, Incarnation: rand.Uint32(), FirstStart: s.FirstStart, Seeds: seeds,
		Identity: n.options.Identity, Source: n.options.Source, Decoder: n.options.Decoder, Log: n.options.Log, Now: n.now, OnView: n.viewChanged,
		OnPanic:             n.panicked,
		CutOff:              func() bool { return n.gateway.CutOff() },
		RegisterServices:    func(r grpc.ServiceRegistrar) { relay.Register(r, n.gateway, n.panicked) },
		OnImplausibleDemand: n.metrics.ImplausibleDemand,
		OnFailureReports:    func(list []quarantine.FailureReport) { n.gateway.AddFailureReports(list) }})
	return nil
}

func (n *Node) openServers() error {
	s := n.options.Settings
	host, _, err := net.SplitHostPort(s.Addresses.Callers)
	if err != nil {
		return errors.Wrap(err, "parse caller address")
	}
	resolve := func(o gateway.Locality) ([]string, time.Duration) {
		validity := n.settings.Load().resolveValidity()
		return n.resolver.resolve(n.now(), n.fleet.Snapshot(), n.fleet.View().Routes, o, validity), validity
	}
	n.servers = []*server{
		newServer(callersServer, s.Addresses.Callers, n.gateway, n.newConns(), n.options.Log),
		newServer("resolve", s.Addresses.Resolve, n.options.ResolveHandler(resolve), n.newConns(), n.options.Log),
		newServer("readiness", s.Addresses.Readiness, n.options.ReadyHandler(n.gateway.Ready), n.newConns(), n.options.Log),
	}
	if n.options.MetricsPort > 0 {
		address := net.JoinHostPort(host, strconv.Itoa(n.options.MetricsPort))
		n.servers = append(n.servers, newServer("metrics", address, n.operatorsHandler(), n.newConns(), n.options.Log))
	}
	for _, server := range n.servers {
		server.setMemory(s)
		if err := server.listen(); err != nil {
			return err
		}
	}
	return nil
}

// relayPeers returns the other instances that can serve callers.
func (n *Node) relayPeers() []relay.Peer {
	domains := n.settings.Load().FailureDomains
	snapshot := n.fleet.Snapshot()
	list := make([]relay.Peer, 0, len(snapshot.Live))
	for _, i := range snapshot.Live {
		if i.IP != n.ip && i.Domain >= 0 && i.Domain < len(domains) {
			list = append(list, relay.Peer{IP: i.IP, FailureDomain: domains[i.Domain], Weight: i.Weight, CutOff: i.CutOff})
		}
	}
	return list
}

// newConns returns the connections of one server.
func (n *Node) newConns() *callerconn.Conns {
	return callerconn.NewConns(
		func() callerconn.Limits { return connectionLimits(n.fleet.View().Config) },
		func(limit callerconn.Expiry) { n.metrics.ConnectionExpired(string(limit)) })
}

// viewChanged notifies the gateway of a new view and returns whether the instance is
// ready with it.
func (n *Node) viewChanged() (ready bool) {
	n.gateway.ViewChanged()
	n.metrics.Gauge("evacuated_failure_domains", float64(len(n.fleet.View().Evacuated)))
	return n.gateway.Ready()
}

// maxStackBytes bounds the stack of a panic in the log.
const maxStackBytes = 4 << 10

// panicked reports a panic that was contained.
func (n *Node) panicked(where string, value any, stack []byte) {
	n.metrics.Panic(where)
	n.options.Log.Error("panic, the work in which it arose has ended", "where", where, "value", fmt.Sprint(value),
		"stack", string(stack[:min(len(stack), maxStackBytes)]))
}
