package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// exchangeInterval is the time between exchanges that an instance starts.
	exchangeInterval = 250 * time.Millisecond
	// maxDiscoveryContacts bounds the peers that are searched at once.
	maxDiscoveryContacts = 24
	// seedRetry is the time between attempts to reach a seed while nothing is known.
	seedRetry = 25 * time.Millisecond
	// nearPartners and farPartners bound the peers of the own and of the other
	// failure domains with which an instance exchanges state regularly. Every
	// connection costs memory; news still crosses the fleet in a number of rounds
	// that grows with its logarithm.
	nearPartners = 8
	farPartners  = 4
	// farEvery is every how many rounds an exchange leaves the failure domain.
	farEvery = 8
	// successorEvery is every how many rounds an instance contacts the next one of its
	// domain, so that each is contacted by at least one: partners are random, and
	// a member that is nobody's partner would be missed by nobody.
	successorEvery = 8
	// discoverEvery is every how many rounds an instance also contacts a seed or a
	// silent peer, so that separated parts find each other.
	discoverEvery = 6
)

// startRound starts the exchanges that are due.
func (t *Task) startRound(now time.Duration) {
	t.round++
	live := t.roster.livePeers(now)
	if len(live) == 0 {
		t.discover(now, true)
		return
	}
	if t.round%discoverEvery == 0 {
		t.discover(now, false)
	}
	near, far := t.splitByDomain(live)
	if t.round%successorEvery == successorEvery/2 && len(near) > 0 {
		t.contact(now, t.successor(near), broadcast{})
		return
	}
	list := t.partnersOf(near, nearPartners)
	if t.round%farEvery == 0 && len(far) > 0 || len(near) == 0 {
		list = t.partnersOf(far, farPartners)
	}
	t.contact(now, list[rand.IntN(len(list))].IP, broadcast{})
}

// successor returns the first peer of a list, sorted by address, after this instance.
func (t *Task) successor(list []*peer) netip.Addr {
	for _, p := range list {
		if t.options.IP.Less(p.IP) {
			return p.IP
		}
	}
	return list[0].IP
}

// partnersOf returns the peers of a list with which this instance exchanges state
// regularly. The choice is stable while they live, and random over the fleet.
func (t *Task) partnersOf(list []*peer, n int) []*peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *peer) int { return t.comparePeers(a.IP, b.IP) })
	return list[:n]
}

// comparePeers puts two instances in this instance's own order.
func (t *Task) comparePeers(a, b netip.Addr) int {
	return cmp.Compare(pairHash(t.options.IP, a), pairHash(t.options.IP, b))
}

// pairHash is a hash of two instances.
func pairHash(a, b netip.Addr) uint64 {
	first, second := a.As4(), b.As4()
	return xxhash.Sum64(append(first[:], second[:]...))
}

// splitByDomain divides peers into those of the own failure domain and others.
func (t *Task) splitByDomain(list []*peer) (near, far []*peer) {
	for _, p := range list {
		if p.Domain == t.options.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

// isFar reports whether a peer is in another failure domain, as far as known.
func (t *Task) isFar(ip netip.Addr) bool {
	p := t.roster.peers[ip]
	return p != nil && p.Domain != t.options.Domain
}

// discover contacts one seed or silent peer, or all seeds.
func (t *Task) discover(now time.Duration, all bool) {
	var unreached []netip.Addr
	for _, seed := range t.options.Seeds {
		if p := t.roster.peers[seed]; seed != t.options.IP && (p == nil || !t.roster.live(now, p)) {
			unreached = append(unreached, seed)
		}
	}
	for _, p := range t.roster.silentPeers(now) {
		unreached = append(unreached, p.IP)
	}
	if len(unreached) == 0 {
		return
	}
	if all {
		for _, ip := range unreached[:min(len(unreached), maxDiscoveryContacts)] {
			t.contact(now, ip, broadcast{})
		}
		return
	}
	t.contact(now, unreached[rand.IntN(len(unreached))], broadcast{})
}

// contact starts an exchange with a peer, or notes that another one is due when
// one is under way. A peer that is not told of a change has most likely heard of
// it; it asks when its revision is older than this instance's.
func (t *Task) contact(now time.Duration, ip netip.Addr, b broadcast) {
	if t.exchanging[ip] {
		pending := t.queued[ip]
		if pending == nil {
			pending = new(broadcast)
			t.queued[ip] = pending
		}
		pending.merge(b)
		return
	}
	conn, err := t.clients.get(ip)
	if err != nil {
		t.options.Log.Error("no client for a peer", "peer", ip.String(), "error", err.Error())
		return
	}
	known := b.changesAfter
	if p := t.roster.peers[ip]; p != nil {
		known = max(known, p.revision)
	}
	state := t.stateFor(now, ip, known, b.sendChanges)
	for _, other := range b.relay {
		state.Relay = append(state.Relay, numberFromAddress(other))
	}
	t.exchanging[ip] = true
	t.send(conn, state, func(now time.Duration, answer *peerapi.FleetState, err error) {
		t.handleAnswer(now, ip, b, answer, err)
	})
}

// send makes an exchange in a goroutine of its own; done runs in the task.
func (t *Task) send(conn *grpc.ClientConn, state *peerapi.FleetState, done func(time.Duration, *peerapi.FleetState, error)) {
	go func() {
		answer, err := exchange(t.context, conn, state)
		t.loop.Post(func(now time.Duration) { done(now, answer, err) })
	}()
}

// handleAnswer takes the result of an exchange.
func (t *Task) handleAnswer(now time.Duration, ip netip.Addr, b broadcast, answer *peerapi.FleetState, err error) {
	delete(t.exchanging, ip)
	pending := t.queued[ip]
	delete(t.queued, ip)
	if err != nil {
		t.handleExchangeFailure(now, ip, err)
		if pending != nil {
			b.merge(*pending)
		}
		t.forward(now, b, treeFanout) // the peer tells nobody
		return
	}
	t.merge(now, answer)
	if pending != nil {
		t.contact(now, ip, *pending)
	}
}

// handleExchangeFailure notes a failed exchange. A known member is contacted once more at
// once, on a new connection.
func (t *Task) handleExchangeFailure(now time.Duration, ip netip.Addr, err error) {
	t.clients.drop(ip)
	failures := t.roster.recordFailure(now, ip)
	if t.context.Err() != nil {
		return
	}
	if failures == 0 {
		if t.set.Revision() == 0 && slices.Contains(t.options.Seeds, ip) { // the whole fleet may be starting
			time.AfterFunc(seedRetry, func() { t.loop.Post(func(now time.Duration) { t.contact(now, ip, broadcast{}) }) })
		}
		return
	}
	if failures == 1 {
		t.options.Log.Warn("lost a peer", "peer", ip.String(), "error", err.Error())
	}
	if failures < downAfter {
		t.contact(now, ip, broadcast{})
	} else if failures == downAfter {
		t.scheduleBroadcast(scopeFew)
	}
}

// stateFor returns this instance's stateFor for a peer whose records are complete up
// to known. Changes are left out when that is not known.
func (t *Task) stateFor(now time.Duration, to netip.Addr, known uint64, changes bool) *peerapi.FleetState {
	s := &peerapi.FleetState{Self: memberMessage(t.roster.self), Revision: t.set.Revision()}
	for _, m := range t.roster.memberUpdates(now, to) {
		s.Members = append(s.Members, memberMessage(m))
	}
	for _, report := range t.failureReports.next(len(t.roster.peers), to, t.isFar(to)) {
		s.Strikes = append(s.Strikes, reportMessage(now, report))
	}
	if !changes || known >= t.set.Revision() {
		return s
	}
	list, ok := t.set.Since(known)
	if !ok || known == 0 {
		known, list, s.Full = 0, t.set.All(), true
	}
	if err := t.packer.put(s, list, known, t.set.Revision()); err != nil { // the peer asks another one
		t.options.Log.Error("records not sent to a peer", "error", err.Error())
		s.Full = false
		return s
	}
	s.ChangesAfter, s.HasChanges = known, true
	return s
}

// merge takes a peer's state, and reports whether the peer was not known.
func (t *Task) merge(now time.Duration, s *peerapi.FleetState) (isNew bool) {
	if s.GetSelf() == nil {
		return false
	}
	sender := memberFromMessage(s.GetSelf())
	previous := t.roster.peers[sender.IP]
	isNew = previous == nil || previous.Incarnation != sender.Incarnation
	if previous != nil && previous.failures > 0 {
		t.options.Log.Info("regained a peer", "peer", sender.IP.String())
	}
	t.roster.merge(now, sender, true)
	if p := t.roster.peers[sender.IP]; p != nil {
		p.revision = s.GetRevision()
	}
	for _, m := range s.GetMembers() {
		if member := memberFromMessage(m); t.roster.merge(now, member, false) && !t.exchanging[member.IP] {
			t.contact(now, member.IP, broadcast{})
		}
	}
	if t.roster.declaredDown {
		t.roster.declaredDown = false
		t.options.Log.Warn("others say that this instance is down", "said_by", sender.IP.String())
		t.scheduleBroadcast(scopeFew)
	}
	t.mergeFailureReports(now, s, sender.IP)
	t.mergeRecords(now, s, sender.IP)
	if relay := addressesFromNumbers(s.GetRelay()); len(relay) > 0 {
		t.pendingRelay.merge(broadcast{sendChanges: s.GetHasChanges(), changesAfter: s.GetChangesAfter(), relay: relay})
	}
	if len(t.pendingRelay.relay) > 0 && t.set.Revision() >= s.GetRevision() {
		owed := t.pendingRelay
		t.pendingRelay = broadcast{}
		t.forward(now, owed, treeFanout)
	}
	return isNew
}

// mergeFailureReports passes on the strikes that were not known.
func (t *Task) mergeFailureReports(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	var unseen []quarantine.FailureReport
	for _, m := range s.GetStrikes() {
		report, err := reportFromMessage(now, m)
		if err != nil {
			t.options.Log.Warn("strike of a peer not readable", "peer", sender.String(), "error", err.Error())
			continue
		}
		if t.failureReports.add(report, sender) {
			unseen = append(unseen, report)
		}
	}
	if len(unseen) > 0 && t.options.OnFailureReports != nil {
		t.options.OnFailureReports(unseen)
	}
}

func (t *Task) mergeRecords(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	if s.GetRevision() <= t.set.Revision() {
		return
	}
	if !s.GetHasChanges() || !s.GetFull() && s.GetChangesAfter() > t.set.Revision() {
		t.contact(now, sender, broadcast{}) // its answer holds what is missing
		return
	}
	list, err := recordsFromMessage(s)
	if err != nil {
		t.options.Log.Warn("records of a peer not readable", "peer", sender.String(), "error", err.Error())
		return
	}
	var changed []records.Record
	if s.GetFull() {
		changed = t.set.Replace(list, s.GetRevision(), false)
	} else {
		changed = t.set.Apply(list, s.GetRevision())
	}
	if len(changed) == 0 {
		return
	}
	t.apply(now, changed)
	if len(s.GetRelay()) == 0 && t.isFar(sender) {
		t.scheduleBroadcast(scopeDomain) // nobody has told this domain, or it was missed
	}
}
