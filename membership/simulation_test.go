package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/configservice"
)

const step = 50 * time.Millisecond

// fleet runs the Members of several instances in simulated time, without a network.
type fleet struct {
	now   time.Duration
	nodes []*Members
	cut   func(from, to int) bool
}

func node(n, run int) Peer {
	var i Incarnation
	i[7], i[8], i[15] = byte(run), byte(n), 1
	return Peer{ID: fmt.Sprintf("i%02d", n), Incarnation: i, FailureDomain: "poa-a",
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", n), CallerAddress: fmt.Sprintf("10.0.0.%d:7001", n)}
}

func list(n int) *configservice.List {
	l := new(configservice.List)
	for k := range n {
		p := node(k, 1)
		l.Instances = append(l.Instances, configservice.Instance{ID: p.ID, PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress})
	}
	return l
}

func newNode(n, run int) *Members {
	return NewMembers(MembersOptions{Self: node(n, run), Rand: rand.New(rand.NewPCG(uint64(n), uint64(run)))})
}

func newFleet(n int) *fleet {
	f := &fleet{cut: func(int, int) bool { return false }}
	for k := range n {
		f.nodes = append(f.nodes, newNode(k, 1))
		f.nodes[k].ApplyList(0, 0, list(n))
	}
	return f
}

// run advances the time by d and calls each after every step. A nil node does
// not run.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += step {
		for from, m := range f.nodes {
			if m != nil {
				f.tick(from, m)
			}
		}
		if each != nil {
			each()
		}
	}
}

func (f *fleet) tick(from int, m *Members) {
	for _, peer := range m.Tick(f.now) {
		var to int
		_, _ = fmt.Sscanf(peer.ID, "i%d", &to)
		if f.nodes[to] == nil || f.cut(from, to) {
			m.EndExchange(peer.ID)
			continue
		}
		request := m.Message(f.now, false)
		f.nodes[to].Receive(f.now, request)
		m.HandleResponse(f.now, f.now, peer.ID, f.nodes[to].Message(f.now, request.GetFull()))
	}
}

func peerView(m *Members, now time.Duration, id int) Peer {
	p, _ := m.View(now).Peer(node(id, 1).ID)
	return p
}

// Guards against false suspicion, against dead instances that stay members, and
// against budget shares that grow although a dead instance may still be alive.
func TestCrashAndRemoval(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	f.run(5*time.Minute, func() {
		for _, m := range f.nodes {
			if v := m.View(f.now); len(v.Members) != 20 || v.Instances != 20 {
				t.Fatalf("at %v: %d members and a count of %d instances, want 20 of both", f.now, len(v.Members), v.Instances)
			}
			for _, p := range m.View(f.now).Peers {
				if p.Liveness != Alive {
					t.Fatalf("at %v: peer %s is %v, want alive", f.now, p.ID, p.Liveness)
				}
			}
		}
	})
	f.nodes[19] = nil
	f.run(20*time.Second, nil)
	is.Equal(peerView(f.nodes[0], f.now, 19).Liveness, Dead)
	is.Equal(len(f.nodes[0].View(f.now).Members), 19)
	f.run(ForgetAfter, nil)
	is.Equal(f.nodes[0].MaxAlive(f.now), 20) // still listed
	for _, m := range f.nodes[:19] {
		m.ApplyList(f.now, f.now, list(19))
	}
	f.run(10*time.Second, nil) // until the peers have reported their lower counts
	is.Equal(f.nodes[0].MaxAlive(f.now), 19)
}

// Guards against a leaving instance or draining target that still gets new work
// because the change is only sent in the rounds: all 20 instances must know of it
// within 1 s of simulated time.
func TestLeavingAndDrainingSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	f.run(10*time.Second, nil)
	f.nodes[3].Leave()
	f.nodes[4].AddDraining(f.now, "10.1.0.1:80")
	f.run(time.Second, nil)
	for n, m := range f.nodes {
		v := m.View(f.now)
		is.Equal(len(v.Members), 19)                     // without the leaving one
		is.Equal(v.Draining, []string{"10.1.0.1:80"})    // seen draining by instance 4
		is.True(n == 3 || peerView(m, f.now, 3).Leaving) // as instance 3 announced
		is.Equal(v.Instances, 20)                        // it may still be alive
	}
	f.run(DrainingTTL, nil)
	is.Equal(len(f.nodes[0].View(f.now).Draining), 0) // relayed entries do not extend the TTL
	f.nodes[3] = nil
	f.run(ForgetAfter+time.Minute, nil)
	is.Equal(f.nodes[0].MaxAlive(f.now), 20-1) // it announced that it leaves and was silent since
}

// Guards against a restarted instance that is mistaken for its earlier
// incarnation, also when its clock was set back between the two starts.
func TestRestartReplacesIncarnation(t *testing.T) {
	for _, run := range []int{2, 0} {
		is := is.New(t)
		f := newFleet(20)
		f.run(5*time.Second, nil)
		old := f.nodes[7].Message(f.now, true)
		f.nodes[7] = newNode(7, run)
		f.nodes[7].ApplyList(f.now, f.now, list(20))
		f.run(20*time.Second, nil)
		for n, m := range f.nodes {
			is.True(n == 7 || !m.Receive(f.now, old)) // a late message of the earlier incarnation
			is.True(n == 7 || peerView(m, f.now, 7).Incarnation == node(7, run).Incarnation)
			is.Equal(m.MaxAlive(f.now), 20)
		}
	}
}

// Guards against budget shares that double because each side of a partition
// counts only its own instances, and against two sides that do not reconnect
// after the partition has healed.
func TestPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	f.run(5*time.Second, nil)
	f.cut = func(from, to int) bool { return (from < 10) != (to < 10) }
	f.run(time.Minute, nil)
	is.Equal(len(f.nodes[0].View(f.now).Members), 10)
	is.Equal(f.nodes[0].MaxAlive(f.now), 20)
	f.cut = func(int, int) bool { return false }
	f.run(10*time.Second, nil)
	for _, m := range f.nodes {
		is.Equal(len(m.View(f.now).Members), 20)
	}
}

// Guards against an instance that acts on outdated state after a pause of its
// process: it must be stale until a call that started after the pause succeeds,
// and must not declare its peers dead because of the pause.
func TestPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(5*time.Second, nil)
	paused := f.nodes[0]
	f.nodes[0] = nil
	f.run(time.Minute, nil)
	f.nodes[0] = paused
	paused.Tick(f.now)
	is.True(paused.Stale())
	is.Equal(len(paused.View(f.now).Members), 3)
	paused.HandleResponse(f.now, f.now-time.Minute, "i01", f.nodes[1].Message(f.now, false))
	is.True(paused.Stale()) // started before the pause
	paused.HandleResponse(f.now, f.now, "i01", f.nodes[1].Message(f.now, false))
	is.True(!paused.Stale())
	f.run(5*time.Second, nil)
	is.Equal(peerView(f.nodes[1], f.now, 0).Liveness, Alive) // its new heartbeats refute its death
}

// Guards against an instance that uses a share of the budgets before it knows the
// fleet, and against a count that is too low when a peer knows more instances.
func TestUnknownFleet(t *testing.T) {
	is := is.New(t)
	m := newNode(0, 1)
	m.Tick(0)
	is.Equal(m.MaxAlive(0), 0)
	f := newFleet(20)
	m.HandleResponse(0, 0, "i05", f.nodes[5].Message(0, false))
	is.Equal(m.MaxAlive(0), 20)
}

// Guards against messages with arbitrary content and order that cause a panic,
// lower the count of instances or make it smaller than the number of members.
func TestArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNode(0, 1)
		m.ApplyList(0, 0, list(4))
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, 3).Draw(t, "from")
			from := newNode(n, rapid.IntRange(0, 2).Draw(t, "run"))
			from.heartbeat = rapid.Uint64Range(0, 9).Draw(t, "heartbeat")
			s := from.Message(0, true)
			s.Incarnation = s.Incarnation[:rapid.SampledFrom([]int{0, 15, 16, 16, 16}).Draw(t, "bytes")]
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				other := newNode(rapid.IntRange(0, 5).Draw(t, "about"), rapid.IntRange(0, 2).Draw(t, "its run"))
				other.heartbeat = rapid.Uint64().Draw(t, "its heartbeat")
				entry := Members{members: []*member{{Peer: other.self, hasHeartbeat: true, heartbeat: other.heartbeat}}}
				s.Members = append(s.Members, entry.Message(0, true).Members...)
				s.Members[len(s.Members)-1].AgeMs = rapid.Uint64().Draw(t, "age")
			}
			m.Receive(now, s)
			v := m.View(now)
			if v.Instances < 4 || len(v.Members) > v.Instances {
				t.Fatalf("%d members and a count of %d instances, want at least 4 instances and no fewer than members", len(v.Members), v.Instances)
			}
			m.Tick(now)
		}
	})
}

// Guards against keys that change their owner when another instance leaves, and
// against an uneven distribution of keys.
func TestOwner(t *testing.T) {
	is := is.New(t)
	a, b := View{Fleet: Fleet{Members: []string{"a", "b", "c"}}}, View{Fleet: Fleet{Members: []string{"a", "b"}}}
	owned := make(map[string]int)
	for n := range 300 {
		key := fmt.Appendf(nil, "key %d", n)
		owner, _ := a.Owner(key)
		rest, _ := b.Owner(key)
		is.True(owner == "c" || owner == rest)
		owned[owner]++
	}
	is.True(owned["a"] > 50 && owned["b"] > 50 && owned["c"] > 50)
}

// Guards against a rejected new member that is counted twice when the table is full.
func TestMembersAboveTheLimitAreCountedOnce(t *testing.T) {
	is := is.New(t)
	m := newNode(0, 1)
	receive := func(n int) bool {
		state := newNode(1, 1).Message(0, false)
		state.Id = fmt.Sprintf("i%04d", n)
		return m.Receive(0, state)
	}
	for n := range maxMembers {
		is.True(receive(n))
	}
	before := m.View(0).Rejected
	is.True(!receive(maxMembers))
	is.Equal(m.View(0).Rejected, before+1)
}
