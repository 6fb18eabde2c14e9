package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// exchangeInterval is the time between exchanges that an instance starts.
	exchangeInterval = 250 * time.Millisecond
	// fanout bounds the peers of the own failure domain that are told of a change
	// at once by the first instance that knows it there. In larger domains, those
	// tell relayFanout others each.
	fanout      = 24
	relayFanout = 3
	// remoteFanout is how many peers of each other failure domain the instance
	// that read a change tells; they tell the rest of their domain, so that most
	// bytes stay within domains.
	remoteFanout = 2
	// spreadDelay gathers changes that arrive together into one message.
	spreadDelay = 30 * time.Millisecond
	// passedOn bounds the members that one exchange tells of.
	passedOn = 10
	// nearPartners and farPartners bound the peers of the own and of the other
	// failure domains with which an instance exchanges state regularly. Every
	// connection costs memory; news still crosses the fleet in a number of rounds
	// that grows with its logarithm.
	nearPartners = 8
	farPartners  = 4
	// farEvery is every how many rounds an exchange leaves the failure domain.
	farEvery = 8
	// searchEvery is every how many rounds an instance also contacts a seed or a
	// silent peer, so that separated parts find each other.
	searchEvery = 6
)

// startRound starts the exchanges that are due.
func (t *Task) startRound(now time.Duration) {
	t.round++
	live := t.roster.livePeers(now)
	if len(live) == 0 {
		t.search(now, true)
		return
	}
	if t.round%searchEvery == 0 {
		t.search(now, false)
	}
	near, far := t.byDomain(live)
	list := t.partners(near, nearPartners)
	if t.round%farEvery == 0 && len(far) > 0 || len(near) == 0 {
		list = t.partners(far, farPartners)
	}
	t.contact(now, list[rand.IntN(len(list))].IP)
}

// partners returns the peers of a list with which this instance exchanges state
// regularly. The choice is stable while they live, and random over the fleet.
func (t *Task) partners(list []*peer, n int) []*peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Compare(pairOrder(t.options.IP, a.IP), pairOrder(t.options.IP, b.IP))
	})
	return list[:n]
}

// pairOrder is a hash of two instances.
func pairOrder(a, b netip.Addr) uint64 {
	first, second := a.As4(), b.As4()
	return xxhash.Sum64(append(first[:], second[:]...))
}

// byDomain divides peers into those of the own failure domain and others.
func (t *Task) byDomain(list []*peer) (near, far []*peer) {
	for _, p := range list {
		if p.Domain == t.options.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// search contacts one seed or silent peer, or all seeds.
func (t *Task) search(now time.Duration, all bool) {
	var unknown []netip.Addr
	for _, seed := range t.options.Seeds {
		if p := t.roster.peers[seed]; seed != t.options.IP && (p == nil || !p.live(now)) {
			unknown = append(unknown, seed)
		}
	}
	for _, p := range t.roster.silentPeers(now) {
		unknown = append(unknown, p.IP)
	}
	if len(unknown) == 0 {
		return
	}
	if all {
		for _, ip := range unknown[:min(len(unknown), fanout)] {
			t.contact(now, ip)
		}
		return
	}
	t.contact(now, unknown[rand.IntN(len(unknown))])
}

// reach is how far a change is told.
type reach int

// Reaches, from the least.
const (
	relayed  reach = iota // a few of the own failure domain
	inDomain              // the own failure domain
	inFleet               // also a few instances of each other domain
)

// spread tells peers of a change soon.
func (t *Task) spread(r reach) {
	t.reach = max(t.reach, r)
	if t.spreading {
		return
	}
	t.spreading = true
	time.AfterFunc(spreadDelay, func() { t.loop.Post(t.spreadNow) })
}

func (t *Task) spreadNow(now time.Duration) {
	reach := t.reach
	t.spreading, t.reach = false, relayed
	near, far := t.byDomain(t.roster.livePeers(now))
	limit := fanout
	if reach == relayed {
		limit = relayFanout
		if len(near) < fanout {
			limit = 0 // the one that knew first has told all
		}
	}
	t.tell(now, near, limit)
	if reach == inFleet {
		t.tell(now, far, remoteFanout)
	}
}

// tell contacts up to limit peers of each failure domain.
func (t *Task) tell(now time.Duration, list []*peer, limit int) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	told := make(map[int]int)
	for _, p := range list {
		if told[p.Domain] < limit {
			told[p.Domain]++
			t.contact(now, p.IP)
		}
	}
}

// contact starts an exchange with a peer, or notes that another one is due when
// one is under way.
func (t *Task) contact(now time.Duration, ip netip.Addr) {
	if t.busy[ip] {
		t.again[ip] = true
		return
	}
	conn, err := t.clients.get(ip)
	if err != nil {
		t.options.Log.Error("no client for a peer", "peer", ip.String(), "error", err.Error())
		return
	}
	known := uint64(0)
	if p := t.roster.peers[ip]; p != nil {
		known = p.revision
	}
	state := t.state(known, known > 0)
	t.busy[ip] = true
	go func() {
		answer, err := exchange(t.context, conn, state)
		t.loop.Post(func(now time.Duration) { t.exchanged(now, ip, answer, err) })
	}()
}

// exchanged takes the result of an exchange.
func (t *Task) exchanged(now time.Duration, ip netip.Addr, answer *peerapi.FleetState, err error) {
	delete(t.busy, ip)
	again := t.again[ip]
	delete(t.again, ip)
	if err != nil {
		if p := t.roster.peers[ip]; p != nil && p.failures == 0 && t.context.Err() == nil {
			t.options.Log.Warn("lost a peer", "peer", ip.String(), "error", err.Error())
		}
		t.roster.failed(ip)
		t.clients.drop(ip)
		return
	}
	t.merge(now, answer)
	if again {
		t.contact(now, ip)
	}
}

// state returns this instance's state for a peer whose records are complete up
// to known. Changes are left out when that is not known.
func (t *Task) state(known uint64, changes bool) *peerapi.FleetState {
	s := &peerapi.FleetState{Self: memberMessage(t.roster.self), Revision: t.set.Revision()}
	for _, m := range t.roster.latest(passedOn) {
		s.Members = append(s.Members, memberMessage(m))
	}
	if !changes || known >= t.set.Revision() {
		return s
	}
	list, ok := t.set.Since(known)
	if !ok || known == 0 {
		list, s.Full = t.set.All(), true
	}
	messages, err := t.packer.messages(list)
	if err != nil { // the peer asks another one
		t.options.Log.Error("records not sent to a peer", "error", err.Error())
		s.Full = false
		return s
	}
	s.Changes, s.ChangesAfter, s.HasChanges = messages, known, true
	return s
}

// merge takes a peer's state.
func (t *Task) merge(now time.Duration, s *peerapi.FleetState) {
	if s.GetSelf() == nil {
		return
	}
	sender := memberOf(s.GetSelf())
	if p := t.roster.peers[sender.IP]; p != nil && p.failures > 0 {
		t.options.Log.Info("regained a peer", "peer", sender.IP.String())
	}
	t.roster.learn(now, sender, true)
	if p := t.roster.peers[sender.IP]; p != nil {
		p.revision = s.GetRevision()
	}
	for _, m := range s.GetMembers() {
		t.roster.learn(now, memberOf(m), false)
	}
	t.mergeRecords(now, s, sender.IP)
	t.publishSnapshot(now)
}

func (t *Task) mergeRecords(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	if s.GetRevision() <= t.set.Revision() {
		return
	}
	if !s.GetHasChanges() || !s.GetFull() && s.GetChangesAfter() > t.set.Revision() {
		t.contact(now, sender) // its answer holds what is missing
		return
	}
	list, err := recordsOf(s.GetChanges())
	if err != nil {
		t.options.Log.Warn("records of a peer not readable", "peer", sender.String(), "error", err.Error())
		return
	}
	var news []records.Record
	if s.GetFull() {
		news = t.set.Replace(list, s.GetRevision(), false)
	} else {
		news = t.set.Apply(list, s.GetRevision())
	}
	if len(news) > 0 {
		t.apply(now, news)
		if sender := t.roster.peers[sender]; sender != nil && sender.Domain != t.options.Domain {
			t.spread(inDomain)
		} else {
			t.spread(relayed)
		}
	}
}
