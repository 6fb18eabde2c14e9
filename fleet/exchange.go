package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/dogwoodroute/dogwoodroute/internal/contain"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/records"
)

const (
	// exchangeInterval is the time between the regular exchanges of an instance.
	exchangeInterval = 250 * time.Millisecond
	// maxDiscoveryContacts bounds the seeds and silent peers contacted in one round.
	maxDiscoveryContacts = 24
	// seedRetry is the time between attempts to reach a seed that does not answer, while
	// this instance has no records.
	seedRetry = 25 * time.Millisecond
	// localPartners and remotePartners bound the peers in this failure domain and in the
	// others with which an instance exchanges state regularly. Every connection costs
	// memory. State still reaches the whole fleet in a number of rounds that grows with
	// the logarithm of its size.
	localPartners  = 8
	remotePartners = 4
	// remoteEvery is the number of rounds from one exchange with another failure domain
	// to the next.
	remoteEvery = 8
	// successorEvery is the number of rounds from one exchange with the successor, the
	// next instance of the failure domain by address, to the next. Partners are random:
	// without it no instance might notice the failure of a member that is no partner
	// of any other.
	successorEvery = 8
	// discoverEvery is the number of rounds after which an instance also contacts a
	// seed or a silent peer, so that the parts of a partitioned fleet find each other.
	discoverEvery = 6
)

// startRound starts the exchanges of one round: a regular one with a partner or the
// successor, and discovery when it is due or no live peer is known.
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
	local, remote := t.splitByDomain(live)
	if t.round%successorEvery == successorEvery/2 && len(local) > 0 {
		t.contact(now, t.successor(local), broadcast{})
		return
	}
	list := t.partnersOf(local, localPartners)
	if t.round%remoteEvery == 0 && len(remote) > 0 || len(local) == 0 {
		list = t.partnersOf(remote, remotePartners)
	}
	t.contact(now, list[rand.IntN(len(list))].IP, broadcast{})
}

// successor returns the first address after this instance's in a list sorted by address,
// or the first of the list if there is none. The list must not be empty.
func (t *Task) successor(list []*peer) netip.Addr {
	for _, p := range list {
		if t.options.IP.Less(p.IP) {
			return p.IP
		}
	}
	return list[0].IP
}

// partnersOf returns up to n peers of a list with which this instance exchanges state
// regularly. The choice changes only with the list, and each instance has its own.
func (t *Task) partnersOf(list []*peer, n int) []*peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *peer) int { return t.comparePeers(a.IP, b.IP) })
	return list[:n]
}

// comparePeers orders instances by pairHash, so that each instance has its own order.
func (t *Task) comparePeers(a, b netip.Addr) int {
	return cmp.Compare(pairHash(t.options.IP, a), pairHash(t.options.IP, b))
}

// pairHash returns a hash of an ordered pair of instances.
func pairHash(a, b netip.Addr) uint64 {
	first, second := a.As4(), b.As4()
	return xxhash.Sum64(append(first[:], second[:]...))
}

// splitByDomain divides peers into those of this failure domain and those of others.
func (t *Task) splitByDomain(list []*peer) (local, remote []*peer) {
	for _, p := range list {
		if p.Domain == t.options.Domain {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

// isRemote reports whether a peer is in another failure domain; false for unknown peers.
func (t *Task) isRemote(ip netip.Addr) bool {
	p := t.roster.peers[ip]
	return p != nil && p.Domain != t.options.Domain
}

// discover contacts seeds and peers that are not live: one of them at random, or up to
// maxDiscoveryContacts if all is true.
func (t *Task) discover(now time.Duration, all bool) {
	var unreached []netip.Addr
	for _, seed := range t.seeds {
		if p := t.roster.peers[seed]; p == nil || !t.roster.live(now, p) {
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

// contact starts an exchange with a peer that carries b. If an exchange with the peer is
// in progress, b is queued for the next one. Changes are sent only if b.sendChanges is
// set: otherwise the peer most likely has them, and if its position is earlier, it
// requests them with an exchange of its own.
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
		t.options.Log.Error("cannot create gRPC client for peer", "peer", ip.String(), "error", err.Error())
		t.endQuestions(b.suspects)
		return
	}
	known := b.changesAfter
	if p := t.roster.peers[ip]; p != nil && p.position.Compare(known) > 0 {
		known = p.position
	}
	state := t.stateFor(now, ip, known, b.sendChanges)
	for _, other := range b.relay {
		state.Relay = append(state.Relay, numberFromAddress(other))
	}
	for _, suspect := range b.suspects {
		if p := t.roster.peers[suspect]; p != nil {
			m := p.Member
			m.State |= Suspected
			state.Members = append(state.Members, memberMessage(m))
		}
	}
	t.exchanging[ip] = true
	sent := t.startDemand(now, state)
	t.send(conn, state, func(now time.Duration, answer *peerapi.FleetState, err error) {
		if err == nil {
			t.failureReports.markDelivered(state.Strikes)
			t.adoptDemand(now, sent, answer)
		}
		t.handleAnswer(now, ip, b, answer, err)
	})
}

// send makes an exchange in a new goroutine. done runs in the task's goroutine.
func (t *Task) send(conn *grpc.ClientConn, state *peerapi.FleetState, done func(time.Duration, *peerapi.FleetState, error)) {
	go func() {
		var answer *peerapi.FleetState
		var err error
		if failed := contain.Run("exchange", t.options.OnPanic, func() { answer, err = exchange(t.context, conn, state) }); failed != nil {
			err = failed
		}
		t.loop.Post(func(now time.Duration) { done(now, answer, err) })
	}()
}

// handleAnswer handles the end of an exchange with a peer that carried b. If it failed,
// this instance forwards b in place of the peer.
func (t *Task) handleAnswer(now time.Duration, ip netip.Addr, b broadcast, answer *peerapi.FleetState, err error) {
	delete(t.exchanging, ip)
	pending := t.queued[ip]
	delete(t.queued, ip)
	if err != nil {
		t.handleExchangeFailure(now, ip, err)
		if pending != nil {
			b.merge(*pending)
		}
		t.endQuestions(b.suspects)
		t.judgeAgain(now, b.suspects)
		t.forward(now, b, treeFanout) // the peer does not forward it
		return
	}
	t.endQuestions(b.suspects)
	t.merge(now, answer)
	if pending != nil {
		t.contact(now, ip, *pending)
	}
	t.syncFailureReports(now, ip)
}

// handleExchangeFailure records a failed exchange. A known member is contacted again at
// once, on a new connection, until downAfter exchanges have failed; then peers are
// notified.
func (t *Task) handleExchangeFailure(now time.Duration, ip netip.Addr, err error) {
	t.clients.drop(ip)
	failures := t.roster.recordFailure(now, ip)
	if t.context.Err() != nil {
		return
	}
	if failures == 0 {
		if t.set.Empty() && slices.Contains(t.seeds, ip) { // the whole fleet may be starting
			time.AfterFunc(seedRetry, func() { t.loop.Post(func(now time.Duration) { t.contact(now, ip, broadcast{}) }) })
		}
		return
	}
	if failures == 1 {
		t.options.Log.Warn("peer does not answer, retrying", "peer", ip.String(), "error", err.Error())
		t.askWitnesses(now, ip)
	}
	if failures < downAfter {
		t.contact(now, ip, broadcast{})
	} else if failures == downAfter && t.roster.peers[ip].State.Has(Down) {
		t.scheduleBroadcast(scopeFew)
	}
}

// askWitnesses asks instances of third failure domains whether a member that does not answer
// here is down. While some are being asked, no others are: an instance that reaches nobody
// would ask twice as many with each failure.
func (t *Task) askWitnesses(now time.Duration, ip netip.Addr) {
	p := t.roster.peers[ip]
	if p == nil || p.openQuestions > 0 {
		return
	}
	for _, witness := range t.roster.witnessesOf(now, p) {
		p.openQuestions++
		t.contact(now, witness, broadcast{suspects: []netip.Addr{ip}})
	}
}

// endQuestions records that a witness was asked about members, or could not be.
func (t *Task) endQuestions(suspects []netip.Addr) {
	for _, ip := range suspects {
		if p := t.roster.peers[ip]; p != nil && p.openQuestions > 0 {
			p.openQuestions--
		}
	}
}

// judgeAgain handles the failure of a witness: others are asked about the members that do not
// answer here. If there are none, these members count as down.
func (t *Task) judgeAgain(now time.Duration, suspects []netip.Addr) {
	for _, ip := range suspects {
		if p := t.roster.peers[ip]; p != nil && p.failures >= downAfter && len(t.roster.witnessesOf(now, p)) == 0 {
			t.roster.markDown(now, p)
			t.scheduleBroadcast(scopeFew)
		} else if p != nil && p.failures > 0 {
			t.askWitnesses(now, ip)
		}
	}
}

// probeDomain contacts members of a failure domain that did not answer, at most
// maxProbesPerTick, since another member of it answers again: the link to it may work again.
func (t *Task) probeDomain(now time.Duration, domain int) {
	probes := 0
	for _, p := range t.roster.silentPeers(now) {
		if p.Domain == domain && probes < maxProbesPerTick && now >= p.probeNotBefore && !t.exchanging[p.IP] {
			p.probeNotBefore = now + contactValidity
			t.contact(now, p.IP, broadcast{})
			probes++
		}
	}
}

// stateFor returns the state to send to a peer whose records are complete up to known.
// If changes is true, it contains the records that the peer lacks: all of them if it has
// none or the history does not reach back to known.
func (t *Task) stateFor(now time.Duration, to netip.Addr, known records.Position, changes bool) *peerapi.FleetState {
	position, version := t.set.Position(), t.config.known()
	s := &peerapi.FleetState{Self: memberMessage(t.roster.self), Era: position.Era, Revision: position.Revision, ConfigVersion: &version}
	for _, m := range t.roster.memberUpdates(now, to) {
		s.Members = append(s.Members, memberMessage(m))
	}
	t.putFailureReports(now, s, to)
	if !changes || known.Compare(position) >= 0 {
		return s
	}
	list, ok := t.set.Since(known)
	if !ok || known.Revision == 0 {
		known, list, s.Full = records.Position{}, t.set.AllWithLapses(), true
	}
	if err := t.packer.put(s, list, known.Revision, position); err != nil { // the peer gets the records from another instance
		t.options.Log.Error("cannot encode records, sending state to peer without them", "error", err.Error())
		s.Full = false
		return s
	}
	s.ChangesAfter, s.HasChanges = known.Revision, true
	return s
}

// merge merges a peer's state. It reports whether the peer was unknown or has restarted.
func (t *Task) merge(now time.Duration, s *peerapi.FleetState) (isNew bool) {
	if s.GetSelf() == nil {
		return false
	}
	sender := memberFromMessage(s.GetSelf())
	previous := t.roster.peers[sender.IP]
	isNew = previous == nil || previous.Incarnation != sender.Incarnation
	wasReading := previous != nil && previous.State.Has(Reading)
	if previous != nil && previous.failures > 0 {
		t.options.Log.Info("peer answers again", "peer", sender.IP.String())
		defer t.probeDomain(now, previous.Domain)
	}
	t.roster.merge(now, sender, true)
	if p := t.roster.peers[sender.IP]; p != nil {
		p.position = t.positionFromMessage(s)
	}
	if wasReading && !sender.State.Has(Reading) {
		t.updateReader(now) // this instance may be the next reader
	}
	for _, m := range s.GetMembers() {
		if member := memberFromMessage(m); t.roster.merge(now, member, false) && !t.exchanging[member.IP] {
			t.contact(now, member.IP, broadcast{})
		}
	}
	if t.roster.declaredDown {
		t.roster.declaredDown = false
		t.options.Log.Warn("reported down by peers, refuting", "said_by", sender.IP.String())
		t.scheduleBroadcast(scopeFew)
	}
	t.mergeFailureReports(now, s, sender.IP)
	t.mergeConfig(now, s, sender.IP) // first, so that an older version in the records never is in force
	t.mergeRecords(now, s, sender.IP)
	if relay := addressesFromNumbers(s.GetRelay()); len(relay) > 0 {
		t.pendingRelay.merge(broadcast{sendChanges: s.GetHasChanges(), changesAfter: t.changesAfterFromMessage(s), relay: relay})
	}
	if len(t.pendingRelay.relay) > 0 && t.set.Position().Compare(t.positionFromMessage(s)) >= 0 {
		due := t.pendingRelay
		t.pendingRelay = broadcast{}
		t.forward(now, due, treeFanout)
	}
	return isNew
}

// mergeRecords applies the changes that a peer sent, if it has a later position. If
// changes are missing between the two positions, it requests them from the peer.
func (t *Task) mergeRecords(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	before, position := t.set.Position(), t.positionFromMessage(s)
	if position.Compare(before) <= 0 {
		return
	}
	after := t.changesAfterFromMessage(s)
	if !s.GetHasChanges() || !s.GetFull() && (after.Era != before.Era || after.Compare(before) > 0) {
		t.requestRecords(now, sender) // the answer contains the missing records
		return
	}
	list, err := recordsFromMessage(s)
	if err != nil {
		t.options.Log.Warn("cannot decode records from peer, ignored", "peer", sender.String(), "error", err.Error())
		return
	}
	var changed []records.Record
	if s.GetFull() {
		changed = t.set.Replace(list, position, false)
	} else {
		changed = t.set.Apply(list, position)
	}
	if len(changed) == 0 && position.Era == before.Era {
		return
	}
	if before.Revision == 0 && len(t.sources(now, t.options.Domain, t.options.IP)) >= minSources {
		t.broadcastPosition = position // the fleet has these records: a broadcast of later ones need not contain them
	}
	t.logEra(before, changed)
	t.apply(now, changed)
	if len(s.GetRelay()) == 0 && t.isRemote(sender) {
		t.scheduleBroadcast(scopeDomain) // this failure domain probably missed the broadcast
	}
}

// positionFromMessage returns the position up to which a peer's records are complete. A
// peer that names no era is taken to be in this instance's.
func (t *Task) positionFromMessage(s *peerapi.FleetState) records.Position {
	return records.Position{Era: s.GetEra(), Revision: s.GetRevision()}.WithDefaultEra(t.set.Position().Era)
}

// changesAfterFromMessage returns the position after which the changes in a message begin,
// in the same era as the position up to which they are complete.
func (t *Task) changesAfterFromMessage(s *peerapi.FleetState) records.Position {
	return records.Position{Era: t.positionFromMessage(s).Era, Revision: s.GetChangesAfter()}
}
