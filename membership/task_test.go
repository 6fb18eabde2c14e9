package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// steppedFleet is a fleet of tasks that communicate over loopback. The test
// advances their clocks step by step.
type steppedFleet struct {
	t        *testing.T
	now      atomic.Int64 // nanoseconds of simulated time
	tasks    []*Task
	isolated atomic.Bool // i00 is partitioned from all others
	ticks    []chan time.Time
}

func startSteppedFleet(t *testing.T, n int) *steppedFleet {
	d := &steppedFleet{t: t}
	l := new(configservice.List)
	var listeners []net.Listener
	for k := range n {
		// Not 127.0.0.1, where fleets of other tests have instances with the same identifiers.
		listener, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		l.Instances = append(l.Instances, configservice.Instance{ID: node(k, 1).ID, PeerAddress: listener.Addr().String()})
	}
	for k, listener := range listeners {
		self := node(k, 1)
		self.PeerAddress = listener.Addr().String()
		ticks := make(chan time.Time)
		task := NewTask(Options{Self: self, Listener: listener,
			Reachable: func(id string) bool { return id != "i00" || !d.isolated.Load() }, Now: func() time.Duration { return time.Duration(d.now.Load()) }})
		task.ticks = ticks
		task.members.ApplyList(0, 0, l)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- task.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
		d.tasks, d.ticks = append(d.tasks, task), append(d.ticks, ticks)
	}
	return d
}

// round ticks every task once and waits until all exchanges have ended.
func (d *steppedFleet) round() {
	d.now.Add(int64(step))
	for _, ticks := range d.ticks {
		ticks <- time.Time{}
	}
	for _, task := range d.tasks {
		task.barrier() // the tick was handled
	}
	for _, task := range d.tasks {
		task.calls.Wait()
	}
	for _, task := range d.tasks {
		task.barrier() // the responses were handled
	}
}

// barrier returns when the task has handled all earlier events and has published
// the view.
func (t *Task) barrier() {
	for range 2 {
		handled := make(chan struct{})
		t.post(func(time.Duration) { close(handled) })
		<-handled
	}
}

// Guards against control traffic above the budget of 22 KB/s per instance at 20
// instances. Time is simulated, so the count does not depend on the machine.
func TestTrafficBudget(t *testing.T) {
	is := is.New(t)
	const (
		budget  = 22_000 // bytes per second, sent and received together
		rounds  = 400
		seconds = rounds * int(step/time.Millisecond) / 1000
	)
	d := startSteppedFleet(t, 20)
	for range 40 { // until connections are open and the first states are exchanged
		d.round()
	}
	for _, task := range d.tasks {
		task.SetConfiguration(1234, "0123456789abcdef")
		task.ReportDraining("10.100.200.30:8080")
	}
	before := d.tasks[0].Traffic()
	for range rounds {
		d.round()
	}
	after := d.tasks[0].Traffic()
	bytes := after.ConnectionBytesSent + after.ConnectionBytesReceived - before.ConnectionBytesSent - before.ConnectionBytesReceived
	messages := after.Exchange.MessagesSent + after.Exchange.MessagesReceived - before.Exchange.MessagesSent - before.Exchange.MessagesReceived
	payload := after.Exchange.BytesSent + after.Exchange.BytesReceived - before.Exchange.BytesSent - before.Exchange.BytesReceived
	t.Logf("%d B/s on connections, %d B/s of messages, %.1f messages/s",
		bytes/uint64(seconds), payload/uint64(seconds), float64(messages)/float64(seconds))
	is.True(messages > uint64(seconds)*12) // the rounds did take place
	is.True(bytes < budget*uint64(seconds))
	if len(d.tasks[0].View().Members) != 20 {
		d.logMissing()
	}
	is.Equal(len(d.tasks[0].View().Members), 20)
}

// logMissing logs, for each task, the members that are not live and the state of its
// connections to them, which explain why.
func (d *steppedFleet) logMissing() {
	for _, task := range d.tasks {
		logged := make(chan struct{})
		task.post(func(now time.Duration) {
			defer close(logged)
			for _, o := range task.members.members {
				if o.liveness(now) == Alive {
					continue
				}
				state := "none"
				task.clients.mu.Lock()
				if connection := task.clients.connections[o.PeerAddress]; connection != nil {
					state = connection.GetState().String()
				}
				task.clients.mu.Unlock()
				d.t.Logf("%s misses %s: silent for %v, exchange until %v, now %v, connection %s", task.options.Self.ID, o.ID,
					now-o.silentSince, o.busyUntil, now, state)
			}
		})
		<-logged
	}
}

// Guards against the state of another fleet that is taken over, since one of its instances
// calls an address that has gone to an instance of this one: members with the same
// identifiers would be replaced and lost.
func TestCallsForAnotherInstanceAreRejected(t *testing.T) {
	is := is.New(t)
	d := startSteppedFleet(t, 20)
	for range 40 {
		d.round()
	}
	foreign := NewMembers(MembersOptions{Self: node(1, 2), Rand: rand.New(rand.NewPCG(1, 2)), Interval: DefaultInterval})
	for k := 2; k < 4; k++ {
		other := NewMembers(MembersOptions{Self: node(k, 2), Rand: rand.New(rand.NewPCG(1, 2)), Interval: DefaultInterval})
		is.True(foreign.Receive(0, other.Message(0, true)))
	}
	clients := newClients(func(string) bool { return true }, new(traffic), nil)
	defer clients.close()
	_, err := call(t.Context(), clients, Peer{ID: "i03", PeerAddress: d.tasks[7].options.Self.PeerAddress}, "exchange",
		func(ctx context.Context, c peerapi.PeerClient) (*peerapi.State, error) {
			return c.Exchange(ctx, foreign.Message(0, true))
		})
	is.True(err != nil)
	for range 200 {
		d.round()
	}
	is.Equal(len(d.tasks[0].View().Members), 20)
}

// Guards against calls that cross a simulated partition in either direction, and
// against calls that succeed although their handler is not set.
func TestRequests(t *testing.T) {
	is := is.New(t)
	d := startSteppedFleet(t, 2)
	for range 20 {
		d.round()
	}
	peer, found := d.tasks[0].View().ByIncarnation(node(1, 1).Incarnation)
	is.True(found)
	_, err := d.tasks[0].Settle(t.Context(), peer, []byte("ticket"))
	is.Equal(status.Code(errors.Unwrap(err)), codes.Unimplemented)
	_, err = d.tasks[0].Trial(t.Context(), peer, &peerapi.TrialRequest{Action: peerapi.TrialAction_TRIAL_ACTION_ACQUIRE})
	is.Equal(status.Code(errors.Unwrap(err)), codes.Unimplemented)
	acknowledged, sent := d.tasks[0].Notify(t.Context(), nil)
	is.Equal([]int{acknowledged, sent}, []int{0, 1})

	d.isolated.Store(true)
	_, err = d.tasks[0].Settle(t.Context(), peer, nil) // rejected by the server
	var failure *CallError
	is.True(errors.As(err, &failure))
	is.Equal(failure.Peer, "i01 at "+peer.PeerAddress)
	is.Equal(status.Code(failure.Err), codes.Unavailable)
	_, _, err = d.tasks[1].QueryVersion(t.Context(), "i00") // rejected before it is sent
	is.True(errors.As(err, &failure))
	is.Equal(failure.Step, "exchange")
}
