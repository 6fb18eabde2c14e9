package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/tables"
	"github.com/dogwoodroute/dogwoodroute/transport"
)

// callsPerSecond is the load of the whole fleet at the design size.
const callsPerSecond = 31_000

// measureProbes measures the cost of probes, target included, and computes how
// many probes an instance sends.
func measureProbes(r *run) error {
	p, err := startProbeTarget()
	if err != nil {
		return err
	}
	defer p.close()
	for _, count := range []int{250, 500, 1000, 2000} {
		before := p.bytes.Load()
		u := measure(func() { err = p.probe(r.ctx, count) })
		if err != nil {
			return err
		}
		r.add(ComponentProbes, "processor time, instance and target", "µs", "probes", count, u.cpuMicros)
		r.add(ComponentProbes, "allocations, instance and target", "", "probes", count, u.allocations)
		r.add(ComponentProbes, "bytes both ways", "B", "probes", count, float64(p.bytes.Load()-before))
	}
	for _, instances := range r.options.Instances {
		r.add(ComponentProbes, "probes of one instance at 560 targets, virtual time", "1/s", "calls/s of the instance",
			callsPerSecond/instances, grantedProbes(instances, callsPerSecond, tables.DefaultProbesPerRequest))
	}
	return nil
}

// probeTarget is a fake target that counts the bytes of its connections, with a
// client that probes it.
type probeTarget struct {
	client  *transport.Client
	server  *http.Server
	address string
	bytes   atomic.Int64
}

func startProbeTarget() (*probeTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	started := time.Now()
	p := &probeTarget{address: listener.Addr().String(),
		client: transport.NewClient(transport.Options{ConnectionLimit: func(string) int { return 2 },
			Now: func() time.Duration { return time.Since(started) }})}
	p.server = &http.Server{Handler: standin.NewTarget(standin.TargetOptions{Name: "t"}), ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(&countingListener{Listener: listener, bytes: &p.bytes}) }()
	return p, nil
}

func (p *probeTarget) probe(ctx context.Context, count int) error {
	for range count {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !p.client.Probe(ctx, "t", p.address).OK {
			return errors.New("probe of a fake target failed")
		}
	}
	return nil
}

func (p *probeTarget) close() {
	p.client.Close()
	_ = p.server.Close()
}

// countingListener counts the bytes that its connections read and write, without
// TCP headers.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
