package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/records"
	"github.com/dogwoodroute/dogwoodroute/secure"
	"github.com/dogwoodroute/dogwoodroute/secure/securetest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds the wait for a condition. It only ends tests that would hang.
const testTimeout = time.Minute

// decoder decodes the record "config" as a configuration, "evacuate/D" as the evacuation
// of the failure domain D and all others as targets, whose value is their failure domain.
type decoder struct{}

func (decoder) Decode(key string, value []byte) (catalog.Entry, error) {
	if key == "config" {
		var version int64
		_, err := fmt.Sscan(string(value), &version)
		return catalog.Entry{Config: &catalog.Config{Version: version}}, err
	}
	if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
		return catalog.Entry{EvacuatedDomain: domain}, nil
	}
	if string(value) == "panic" {
		panic("a record that cannot be decoded")
	}
	if strings.HasPrefix(string(value), "bad") {
		return catalog.Entry{}, errors.New("unreadable")
	}
	return catalog.Entry{Target: &catalog.Target{ID: key, FailureDomain: string(value), Service: "s", Slots: 1}}, nil
}

// cluster is a fleet in one process. Instance n of failure domain d has the address
// 127.1.d.n.
type cluster struct {
	t       *testing.T
	store   *store
	port    uint16
	domains []string
	seeds   []netip.Addr
	running map[netip.Addr]*instance
	links   *links
	// pipes replaces the network if not nil.
	pipes *pipes
	// identity secures the connections of instances that are started after it is set.
	identity *secure.Identity
}

type instance struct {
	*fleet.Task
	failureReports atomic.Int64 // number of failure reports from peers
	panics         atomic.Int64 // contained ones
	cutOff         atomic.Bool  // result of Options.CutOff
	cancel         context.CancelFunc
	ended          chan struct{}
}

func newCluster(t *testing.T, domains int) *cluster {
	c := &cluster{t: t, store: newStore(), running: make(map[netip.Addr]*instance), links: newLinks()}
	for d := range domains {
		c.domains = append(c.domains, fmt.Sprint("d", d))
	}
	listener, err := net.Listen("tcp", "127.1.0.1:0") // a port that is free on one address is probably free on all
	if err != nil {
		t.Fatal(err)
	}
	c.port = netip.MustParseAddrPort(listener.Addr().String()).Port()
	_ = listener.Close()
	c.seeds = []netip.Addr{address(0, 1), address(domains-1, 1), netip.MustParseAddr("127.1.200.200")} // no instance runs at the last one
	t.Cleanup(func() {
		for ip := range c.running {
			c.stop(ip)
		}
	})
	return c
}

func address(domain, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain), byte(n)})
}

func (c *cluster) start(domain, n int) *instance {
	c.t.Helper()
	ip := address(domain, n)
	listener, dial := c.listen(ip)
	begin := time.Now()
	i := &instance{ended: make(chan struct{})}
	i.Task = fleet.New(fleet.Options{Listener: listener, IP: ip, Port: c.port, Domains: c.domains, Domain: domain,
		Incarnation: uint32(begin.UnixNano()), Seeds: c.seeds, Identity: c.identity, Source: &source{store: c.store, name: ip.String()},
		Decoder: decoder{}, CutOff: i.cutOff.Load, OnPanic: func(string, any, []byte) { i.panics.Add(1) }, OnView: func() bool { return true }, OnFailureReports: func(list []quarantine.FailureReport) { i.failureReports.Add(int64(len(list))) }, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return time.Since(begin) }})
	i.SetDialer(dial)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() {
		defer close(i.ended)
		if err := i.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.running[ip] = i
	return i
}

// listen returns the listener and the dialer of an instance.
func (c *cluster) listen(ip netip.Addr) (net.Listener, func(context.Context, string) (net.Conn, error)) {
	if c.pipes != nil {
		return c.pipes.listen(ip), func(ctx context.Context, to string) (net.Conn, error) { return c.pipes.dial(ctx, ip, to) }
	}
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, c.port).String())
	if err != nil {
		c.t.Fatal(err)
	}
	return listener, c.links.dialer(ip)
}

func (c *cluster) startAll(perDomain int) {
	for d := range c.domains {
		for n := range perDomain {
			c.start(d, n+1)
		}
	}
}

// stop ends an instance without a planned shutdown, and waits for its end.
func (c *cluster) stop(ip netip.Addr) {
	i := c.running[ip]
	delete(c.running, ip)
	i.cancel()
	<-i.ended
}

// await waits until a condition holds on every running instance, one after the other.
func (c *cluster) await(what string, holds func(*instance) bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for ip, i := range c.running {
		for !holds(i) {
			if time.Now().After(deadline) {
				c.t.Fatalf("instance %s: %s does not hold", ip, what)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func version(n int64) func(*instance) bool {
	return func(i *instance) bool { v := i.View(); return v.Config != nil && v.Config.Version == n }
}

func (c *cluster) setVersion(n int64) {
	c.store.change(records.Record{Key: "config", Value: []byte(fmt.Sprint(n))})
}

// Guards against changes that do not reach every instance, and against every instance
// reading the store.
func TestChangesReachAllThroughFewReaders(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.setVersion(1)
	c.startAll(4)
	c.await("version 1", version(1))
	c.await("12 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 12 })
	c.store.mu.Lock()
	c.store.calls = make(map[string]int)
	c.store.mu.Unlock()
	for n := int64(2); n < 6; n++ {
		c.setVersion(n)
		c.await("the next version", version(n))
	}
	is.True(len(c.store.readers()) <= 6) // half of the instances: under load some may take over needlessly
}

// Guards against instances that do not learn which others reach no target, or that take one for
// such after its path is back or it has started again.
func TestInstancesLearnWhichAreCutOff(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(4)
	c.await("8 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 8 })
	cutOff := func(want ...netip.Addr) {
		t.Helper()
		c.await(fmt.Sprint("cut off are ", want), func(i *instance) bool {
			n := 0
			for _, other := range i.Snapshot().Live {
				if other.CutOff && slices.Contains(want, other.IP) {
					n++
				} else if other.CutOff {
					return false
				}
			}
			return n == len(want)
		})
	}
	a, b := address(0, 1), address(1, 2)
	c.running[a].cutOff.Store(true)
	c.running[b].cutOff.Store(true)
	cutOff(a, b)
	c.running[a].cutOff.Store(false)
	cutOff(b)
	c.stop(b)
	c.start(1, 2)
	cutOff()
}

// Guards against a fleet that receives no changes after its readers were killed, or while
// the store refuses them but serves others.
func TestOthersReadWhenReadersFail(t *testing.T) {
	for name, fail := range map[string]func(*cluster, []string){
		"killed": func(c *cluster, readers []string) {
			for _, reader := range readers {
				c.stop(netip.MustParseAddr(reader))
			}
		},
		"refused": func(c *cluster, readers []string) { c.store.refuse(readers...) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			c.setVersion(1)
			c.startAll(4)
			c.await("version 1", version(1))
			c.await("8 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 8 })
			c.store.mu.Lock()
			c.store.calls = make(map[string]int)
			c.store.mu.Unlock()
			c.setVersion(2)
			c.await("version 2", version(2))
			readers := c.store.readers()
			fail(c, readers[:min(len(readers), 4)])
			c.setVersion(3)
			c.await("version 3", version(3))
		})
	}
}

// Guards against instances that never get the records, or late, since the others refer them:
// one that starts among others, and half of the fleet.
func TestReferredInstancesGetAllRecords(t *testing.T) {
	const targets = 200
	c := newCluster(t, 2)
	c.setVersion(1)
	for n := range targets {
		c.store.change(records.Record{Key: fmt.Sprint("t", n), Value: []byte("d0")})
	}
	c.startAll(5)
	complete := func(i *instance) bool { return version(1)(i) && len(i.View().Targets["s"]) == targets }
	c.await("all targets", complete)
	c.await("10 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 10 })
	for _, count := range []int{1, 3} {
		for n := range count {
			c.stop(address(0, 2+n))
			c.stop(address(1, 2+n))
		}
		for n := range count {
			c.start(0, 2+n)
			c.start(1, 2+n)
		}
		c.await("all targets after a restart", complete)
	}
}

// Guards against a fleet that does not recover when all instances stop at once and are
// started again, and against instances that keep outdated state.
func TestAllInstancesRestart(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(3)
	c.await("version 1", version(1))
	for ip := range c.running {
		c.stop(ip)
	}
	c.setVersion(2)
	c.startAll(3)
	c.await("version 2", version(2))
	c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
}

// Guards against sending callers to instances that are stopping or down.
func TestLeavingAndLostInstancesAreNotLive(t *testing.T) {
	c := newCluster(t, 2)
	c.setVersion(1)
	c.startAll(3)
	c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
	c.running[address(0, 2)].Leave()
	c.await("5 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 5 })
	c.stop(address(1, 2))
	c.await("4 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 4 })
}

// Guards against a record that cannot be decoded preventing others from being applied.
func TestUnreadableRecordDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	i := c.start(0, 1)
	c.store.change(records.Record{Key: "a", Value: []byte("x")})
	c.store.change(records.Record{Key: "b", Value: []byte("bad")})
	c.store.change(records.Record{Key: "config", Value: []byte("not a number")})
	c.store.change(records.Record{Key: "c", Value: []byte("x")})
	c.await("two targets", func(i *instance) bool { return len(i.View().Targets["s"]) == 2 })
	is.Equal(i.View().Config, nil)
	c.setVersion(3)
	c.await("version 3", version(3))
	c.store.change(records.Record{Key: "a", Deleted: true})
	c.await("one target", func(i *instance) bool { return len(i.View().Targets["s"]) == 1 })
}

// Guards against a record that ends the process, or hides the others of the same answer,
// since its decoding panics.
func TestRecordThatPanicsDoesNotAffectOthers(t *testing.T) {
	c := newCluster(t, 1)
	c.store.change(records.Record{Key: "odd", Value: []byte("panic")})
	c.store.change(records.Record{Key: "t1", Value: []byte("fine")})
	c.setVersion(1)
	c.startAll(3)
	c.await("the configuration", version(1))
	c.await("the target", targets("t1"))
	c.await("a contained panic", func(i *instance) bool { return i.panics.Load() > 0 })
}

// Guards against large values that are truncated or rejected between instances.
func TestLargeRecordReachesPeers(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll(3)
	c.store.change(records.Record{Key: "large", Value: []byte(strings.Repeat("abcdefgh", 100_000))})
	c.await("the large record", func(i *instance) bool { return len(i.View().Targets["s"]) == 1 })
}

// Guards against instances that do not find each other over mTLS connections, and against
// accepting an instance without the fleet's certificate.
func TestProtectedLinks(t *testing.T) {
	is := is.New(t)
	load := func() *secure.Identity {
		identity, err := secure.Load(securetest.New(t).Write(t, t.TempDir(), secure.ServerName))
		is.NoErr(err)
		return identity
	}
	c := newCluster(t, 2)
	c.setVersion(1)
	c.identity = load()
	c.startAll(3)
	c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
	for _, identity := range []*secure.Identity{nil, load()} {
		c.identity = identity
		outsider := c.start(0, 9)
		for outsider.View().Config == nil { // it reads the store itself after its seeds have not answered
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(len(outsider.Snapshot().Live), 1)
		c.stop(address(0, 9))
		c.await("6 live instances", func(i *instance) bool { return len(i.Snapshot().Live) == 6 })
	}
}
