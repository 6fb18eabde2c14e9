package confsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/membership"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that would otherwise hang; a passing test does not reach it.
const testTimeout = time.Minute

// fleet is a set of instances in this process that communicate over loopback.
type fleet struct {
	t         *testing.T
	list      *standin.Value
	listURL   string
	nodes     []*instance
	partition atomic.Bool // separates the even-numbered instances from the odd ones
}

// instance runs the membership and configuration tasks of one instance.
type instance struct {
	id      string
	syncer  *Syncer
	task    *membership.Task
	applied chan uint64 // versions in the order of Apply
	stop    func()
}

// serve serves a fake published value over HTTP and returns its URL.
func serve(t *testing.T, v *standin.Value) string {
	server := httptest.NewServer(v)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

// startFleet starts n instances, all in the list of instances. service returns the
// URL of the configuration service for instance k.
func startFleet(t *testing.T, n int, service func(k int) string) *fleet {
	f := &fleet{t: t}
	var listeners []net.Listener
	var list configservice.List
	for k := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		address := listener.Addr().String()
		list.Instances = append(list.Instances, configservice.Instance{ID: fmt.Sprintf("i%02d", k), PeerAddress: address, CallerAddress: address})
	}
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	f.list = standin.NewValue(data)
	f.listURL = serve(t, f.list)
	for k, listener := range listeners {
		f.nodes = append(f.nodes, f.start(k, listener, service(k)))
	}
	return f
}

func (f *fleet) start(k int, listener net.Listener, service string) *instance {
	sources := make([]*configservice.HTTPSource, 2)
	for n, url := range []string{service, f.listURL} {
		source, err := configservice.NewHTTPSource(url)
		if err != nil {
			f.t.Fatal(err)
		}
		sources[n] = source
	}
	i := &instance{id: fmt.Sprintf("i%02d", k), applied: make(chan uint64, 100)}
	i.task = membership.NewTask(membership.Options{Listener: listener, List: sources[1], Interval: 200 * time.Millisecond,
		Self:           membership.Peer{ID: i.id, Incarnation: membership.NewIncarnation(time.Now()), PeerAddress: listener.Addr().String()},
		OnAnnouncement: func(peer string, version uint64, digest string) { i.syncer.HandleAnnouncement(peer, version, digest) },
		Content:        func(version uint64) ([]byte, bool) { return i.syncer.Content(version) },
		Reachable: func(peer string) bool {
			var other int
			_, _ = fmt.Sscanf(peer, "i%d", &other)
			return !f.partition.Load() || other%2 == k%2
		}})
	i.syncer = New(Options{Source: sources[0], Peers: i.task, StartWait: testTimeout, Apply: func(d *tables.Document) {
		i.applied <- d.Version
		i.task.SetConfiguration(d.Version, d.Digest())
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { i.syncer.Run(ctx) })
	group.Go(func() {
		if err := i.task.Run(ctx); err != nil {
			f.t.Error(err)
		}
	})
	i.stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
		sources[0].Close()
		sources[1].Close()
	})
	f.t.Cleanup(i.stop)
	return i
}

// await waits until all given instances have a version in force, and checks that
// each applied only increasing versions.
func (f *fleet) await(version uint64, nodes ...*instance) {
	f.t.Helper()
	for _, i := range nodes {
		f.eventually(i.id, func() bool { return i.syncer.Status().Version == version && i.syncer.Status().Ready })
		var last uint64
		for len(i.applied) > 0 {
			next := <-i.applied
			if next <= last {
				f.t.Fatalf("%s applied version %d after %d", i.id, next, last)
			}
			last = next
		}
		i.applied <- last
	}
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: timed out", what)
		}
	}
}

// Guards against instances that miss an edit because their reads of the service
// fail or return an invalid or old document.
func TestEditReachesAll(t *testing.T) {
	broken := []standin.Mode{{Down: true}, {CloseConnection: true}, {Stale: true}, {Override: []byte("{")}}
	services := []*standin.Value{standin.NewValue(document(1, ""))}
	for range broken {
		services = append(services, standin.NewValue(document(1, "")))
	}
	var urls []string
	for _, service := range services {
		urls = append(urls, serve(t, service))
	}
	f := startFleet(t, 20, func(k int) string {
		if k%2 == 0 {
			return urls[0]
		}
		return urls[1+k/2%len(broken)]
	})
	f.await(1, f.nodes...)
	for n, mode := range broken {
		services[1+n].SetMode(mode)
	}
	services[0].Set(document(2, ""))
	f.await(2, f.nodes...)
}

// Guards against a restarted instance that puts the old version of a stale service
// into force while its peers have a newer one.
func TestRestartDuringStaleService(t *testing.T) {
	is := is.New(t)
	service, stale := standin.NewValue(document(1, "")), standin.NewValue(document(1, ""))
	url := serve(t, service)
	f := startFleet(t, 4, func(int) string { return url })
	f.await(1, f.nodes...)
	service.Set(document(2, ""))
	f.await(2, f.nodes...)
	f.nodes[0].stop()
	old, found := f.nodes[1].task.View().Peer("i00")
	is.True(found)
	listener, err := net.Listen("tcp", old.PeerAddress)
	is.NoErr(err)
	restarted := f.start(0, listener, serve(t, stale))
	<-restarted.syncer.Ready()
	is.Equal(<-restarted.applied, uint64(2)) // version 1 was never in force
	is.Equal(restarted.syncer.Status().Source.Peer != "", true)
	f.eventually("new incarnation", func() bool {
		p, _ := f.nodes[1].task.View().Peer("i00")
		return p.Incarnation != old.Incarnation && p.Liveness == membership.Alive
	})
	// Version 1 may arrive before or after version 2 from the peers.
	f.eventually("stale service read", func() bool { return stale.Calls() > 1 })
	f.await(2, f.nodes[1], f.nodes[2], f.nodes[3])
	is.Equal(restarted.syncer.Status().Version, uint64(2))
	is.Equal(len(restarted.applied), 0)
}

// Guards against two sides of a partition that keep different versions after the
// partition has healed.
func TestPartitionHeals(t *testing.T) {
	services := []*standin.Value{standin.NewValue(document(1, "")), standin.NewValue(document(1, ""))}
	urls := []string{serve(t, services[0]), serve(t, services[1])}
	f := startFleet(t, 20, func(k int) string { return urls[k%2] })
	f.await(1, f.nodes...)
	f.partition.Store(true)
	services[0].Set(document(2, ""))
	services[1].Set(document(3, ""))
	for k, node := range f.nodes {
		f.await(uint64(2+k%2), node)
	}
	f.partition.Store(false)
	f.await(3, f.nodes...)
}

// Guards against instances that do not report, or that alternate between, two
// documents with the same version.
func TestTwoContents(t *testing.T) {
	is := is.New(t)
	services := []*standin.Value{standin.NewValue(document(1, "")), standin.NewValue(document(1, ""))}
	urls := []string{serve(t, services[0]), serve(t, services[1])}
	f := startFleet(t, 2, func(k int) string { return urls[k] })
	f.await(1, f.nodes...)
	f.partition.Store(true)
	services[0].Set(document(2, "x"))
	services[1].Set(document(2, "y"))
	f.await(2, f.nodes...)
	f.partition.Store(false)
	for k, content := range []string{"x", "y"} {
		f.eventually("conflict", func() bool { return len(f.nodes[k].syncer.Status().Conflicts) == 1 })
		status := f.nodes[k].syncer.Status()
		is.Equal(status.Digest, digestOf(document(2, content)))
		both := []string{status.Conflicts[0].InForce, status.Conflicts[0].Other}
		slices.Sort(both)
		want := []string{digestOf(document(2, "x")), digestOf(document(2, "y"))}
		slices.Sort(want)
		is.Equal(both, want)
	}
	services[0].Set(document(3, "")) // operators resolve the conflict with a higher version
	f.await(3, f.nodes...)
}

// Guards against an instance that returns to an old configuration because the
// service alternates between two documents.
func TestFlappingService(t *testing.T) {
	service := standin.NewValue(document(1, ""))
	url := serve(t, service)
	f := startFleet(t, 2, func(int) string { return url })
	f.await(1, f.nodes...)
	service.SetMode(standin.Mode{Alternate: [][]byte{document(2, ""), document(1, "")}})
	f.await(2, f.nodes...)
	f.eventually("lower versions", func() bool { return f.nodes[0].syncer.Status().Outdated > 3 })
	f.await(2, f.nodes...)
}
