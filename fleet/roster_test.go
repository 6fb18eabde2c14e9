package fleet

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation simulates the exchanges of a fleet in virtual time.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	list   []*roster
	down   map[*roster]bool
	group  map[*roster]int // instances reach those of their own group only
	byIP   map[netip.Addr]*roster
}

func newSimulation(n int) *simulation {
	f := &simulation{random: rand.New(rand.NewPCG(1, 2)), down: make(map[*roster]bool), group: make(map[*roster]int), byIP: make(map[netip.Addr]*roster)}
	for i := range n {
		member := Member{IP: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), Incarnation: uint32(i + 1), State: Ready}
		f.list = append(f.list, newRoster(member))
		f.byIP[member.IP] = f.list[i]
	}
	for _, r := range f.list {
		for _, other := range f.list {
			r.merge(0, other.self, true)
		}
	}
	return f
}

// deliver sends the state of one instance to another.
func (f *simulation) deliver(from, to *roster) {
	to.merge(f.now, from.self, true)
	for _, m := range from.memberUpdates(f.now, to.self.IP) {
		if to.merge(f.now, m, false) {
			f.contact(to, m.IP)
		}
	}
}

// contact makes an exchange, and repeats it after a failure.
func (f *simulation) contact(r *roster, ip netip.Addr) {
	for range downAfter {
		if other := f.byIP[ip]; !f.down[other] && f.group[other] == f.group[r] {
			f.deliver(r, other)
			f.deliver(other, r)
			return
		}
		r.recordFailure(f.now, ip)
	}
}

// randomPartner returns one of the few regular partners of an instance, or the next one that
// it believes to be running.
func (f *simulation) randomPartner(i int) netip.Addr {
	step := pairHash(f.list[i].self.IP, f.list[f.random.IntN(localPartners)].self.IP) % uint64(len(f.list)-1)
	return f.successor(i, i+int(step))
}

// successor returns the next instance after place that instance i believes to be running, or
// the last one if there is none.
func (f *simulation) successor(i, place int) netip.Addr {
	other := f.list[place%len(f.list)].self.IP
	for j := place + 1; j <= place+len(f.list); j++ {
		other = f.list[j%len(f.list)].self.IP
		if p := f.list[i].peers[other]; p != nil && f.list[i].live(f.now, p) {
			break
		}
	}
	return other
}

// run advances the time by d. Each instance exchanges state with a few partners of its
// own, and occasionally with a silent member.
func (f *simulation) run(d time.Duration) {
	nextTicks := successorEvery * int(exchangeInterval/tickInterval)
	for end := f.now + d; f.now < end; f.now += tickInterval {
		for i, r := range f.list {
			if f.down[r] {
				continue
			}
			r.self.Heartbeat++
			if r.declaredDown {
				r.declaredDown = false
				for range treeFanout {
					f.contact(r, f.randomPartner(i))
				}
			}
			for _, ip := range r.dueProbes(f.now) {
				f.contact(r, ip)
			}
			if int(f.now/tickInterval)%nextTicks == i%nextTicks {
				f.contact(r, f.successor(i, i))
			}
			if f.random.IntN(5) < 2 { // once per exchangeInterval on average
				f.contact(r, f.randomPartner(i))
			}
			if silent := r.silentPeers(f.now); len(silent) > 0 && f.random.IntN(15) == 0 {
				f.contact(r, silent[f.random.IntN(len(silent))].IP)
			}
		}
	}
}

// misjudged counts the peers that running instances wrongly believe to be running or
// down.
func (f *simulation) misjudged() (n int) {
	for _, r := range f.list {
		for _, p := range r.peers {
			if !f.down[r] && r.live(f.now, p) == f.down[f.byIP[p.IP]] {
				n++
			}
		}
	}
	return n
}

// Guards against members of a large fleet that count as down because exchanges cannot
// carry all heartbeats in time (one instance of a fleet of 153 counted only 60 as
// running), and against failure detection that takes longer in a larger fleet.
func TestLargeFleetAgreesWhoIsAlive(t *testing.T) {
	for _, n := range []int{20, 100} {
		is := is.New(t)
		f := newSimulation(n)
		for range 40 {
			f.run(time.Second)
			is.Equal(f.misjudged(), 0)
		}
		for i := range 5 {
			f.down[f.list[3*i]] = true
		}
		f.run(5 * time.Second)
		is.Equal(f.misjudged(), 0)
		clear(f.down) // they were only paused, and still have their state from before
		f.run(5 * time.Second)
		is.Equal(f.misjudged(), 0)
	}
}

// Guards against a restarted member that still counts as down, and against a late report
// about its previous incarnation that takes it down again.
func TestRestartEndsDownStatement(t *testing.T) {
	is := is.New(t)
	f := newSimulation(3)
	a, b, c := f.list[0], f.list[1], f.list[2]
	f.down[c] = true
	f.contact(a, c.self.IP)
	f.deliver(a, b)
	is.True(!b.live(f.now, b.peers[c.self.IP]))
	f.down[c] = false
	c.self.Incarnation, c.self.Heartbeat = 99, 0
	f.deliver(c, b)
	is.True(b.live(f.now, b.peers[c.self.IP]))
	f.deliver(a, b) // still reports the previous incarnation
	is.True(b.live(f.now, b.peers[c.self.IP]))
	f.deliver(b, a)
	is.True(a.peers[c.self.IP].Incarnation == 99)
}

// Guards against lists for callers that name instances that ended while the instance that
// answers was cut off from them, alone, with a few or with a whole failure domain, and when
// half of the fleet ends at once.
func TestListsNameNoInstanceThatIsGone(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ groups, size, seconds, ended int }{{17, 1, 3, 20}, {4, 5, 4, 20}, {1, 42, 3, 20}, {0, 0, 0, 85}} {
		f := newSimulation(170)
		f.run(3 * time.Second)
		for i := range c.groups * c.size {
			f.group[f.list[i]] = 1 + i/c.size
		}
		f.run(500 * time.Millisecond)
		for i := range c.ended {
			f.down[f.list[(4+8*i+i*8/len(f.list))%len(f.list)]] = true
		}
		f.run(time.Duration(c.seconds) * time.Second)
		clear(f.group)
		f.run(max(3, 6-time.Duration(c.seconds)) * time.Second)
		gone, least := 0, len(f.list)
		for _, r := range f.list {
			if f.down[r] {
				continue
			}
			named := 0
			for _, p := range r.peers {
				switch {
				case !r.callable(f.now, p):
				case f.down[f.byIP[p.IP]]:
					gone++
				default:
					named++
				}
			}
			least = min(least, named)
		}
		t.Logf("%+v: %d entries of instances that are gone, %d of running ones in the shortest list", c, gone, least)
		is.Equal(gone, 0)
		is.True(least > 20)
	}
}

// Guards against a member of another failure domain that counts as down since one link is
// cut, and against one that stays live since nobody may judge it alone.
func TestMemberOfAnotherDomainIsDownIfTwoDomainsDoNotReachIt(t *testing.T) {
	is := is.New(t)
	member := func(i int) Member {
		return Member{IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), Incarnation: 1, Heartbeat: 1, Domain: i % 3, State: Ready}
	}
	remote, suspect := member(1), member(1)
	suspect.State |= Suspected
	rosterOf := func(size int) *roster {
		r := newRoster(member(0))
		for i := range size {
			r.merge(0, member(i), true)
		}
		return r
	}
	down := func(r *roster) bool { return r.peers[remote.IP].State.Has(Down) }
	fail := func(r *roster, now time.Duration) {
		for range downAfter {
			r.recordFailure(now, remote.IP)
		}
	}

	reporter := rosterOf(6)
	is.Equal(len(reporter.witnessesOf(0, reporter.peers[remote.IP])), witnesses)
	fail(reporter, 0)
	is.True(!down(reporter))                    // only this domain does not reach it
	is.True(!reporter.merge(0, suspect, false)) // nor does another one
	is.True(down(reporter))

	witness := rosterOf(6)
	is.True(witness.merge(0, suspect, false)) // probed here, too
	is.True(!down(witness))
	fail(witness, suspicionValidity-1)
	is.True(down(witness))

	late := rosterOf(6)
	late.merge(0, suspect, false)
	fail(late, suspicionValidity)
	is.True(!down(late)) // the link may have been cut since

	alone := rosterOf(2) // no third domain
	fail(alone, 0)
	is.True(down(alone))
}
