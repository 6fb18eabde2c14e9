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
	// maxSearched bounds the peers that are searched at once.
	maxSearched = 24
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
	// nextEvery is every how many rounds an instance contacts the next one of its
	// domain, so that each is contacted by at least one: partners are random, and
	// a member that is nobody's partner would be missed by nobody.
	nextEvery = 8
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
	if t.round%nextEvery == nextEvery/2 && len(near) > 0 {
		t.contact(now, t.next(near), broadcast{})
		return
	}
	list := t.partners(near, nearPartners)
	if t.round%farEvery == 0 && len(far) > 0 || len(near) == 0 {
		list = t.partners(far, farPartners)
	}
	t.contact(now, list[rand.IntN(len(list))].IP, broadcast{})
}

// next returns the first peer of a list, sorted by address, after this instance.
func (t *Task) next(list []*peer) netip.Addr {
	for _, p := range list {
		if t.options.IP.Less(p.IP) {
			return p.IP
		}
	}
	return list[0].IP
}

// partners returns the peers of a list with which this instance exchanges state
// regularly. The choice is stable while they live, and random over the fleet.
func (t *Task) partners(list []*peer, n int) []*peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b *peer) int { return t.compare(a.IP, b.IP) })
	return list[:n]
}

// compare puts two instances in this instance's own order.
func (t *Task) compare(a, b netip.Addr) int {
	return cmp.Compare(pairOrder(t.options.IP, a), pairOrder(t.options.IP, b))
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

// isFar reports whether a peer is in another failure domain, as far as known.
func (t *Task) isFar(ip netip.Addr) bool {
	p := t.roster.peers[ip]
	return p != nil && p.Domain != t.options.Domain
}

// search contacts one seed or silent peer, or all seeds.
func (t *Task) search(now time.Duration, all bool) {
	var unknown []netip.Addr
	for _, seed := range t.options.Seeds {
		if p := t.roster.peers[seed]; seed != t.options.IP && (p == nil || !t.roster.live(now, p)) {
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
		for _, ip := range unknown[:min(len(unknown), maxSearched)] {
			t.contact(now, ip, broadcast{})
		}
		return
	}
	t.contact(now, unknown[rand.IntN(len(unknown))], broadcast{})
}

// contact starts an exchange with a peer, or notes that another one is due when
// one is under way. A peer that is not told of a change has most likely heard of
// it; it asks when its revision is older than this instance's.
func (t *Task) contact(now time.Duration, ip netip.Addr, b broadcast) {
	if t.busy[ip] {
		due := t.again[ip]
		if due == nil {
			due = new(broadcast)
			t.again[ip] = due
		}
		due.add(b)
		return
	}
	conn, err := t.clients.get(ip)
	if err != nil {
		t.options.Log.Error("no client for a peer", "peer", ip.String(), "error", err.Error())
		return
	}
	known := b.after
	if p := t.roster.peers[ip]; p != nil {
		known = max(known, p.revision)
	}
	state := t.state(now, ip, known, b.changes)
	for _, other := range b.relay {
		state.Relay = append(state.Relay, numberOf(other))
	}
	t.busy[ip] = true
	t.send(conn, state, func(now time.Duration, answer *peerapi.FleetState, err error) { t.exchanged(now, ip, b, answer, err) })
}

// send makes an exchange in a goroutine of its own; done runs in the task.
func (t *Task) send(conn *grpc.ClientConn, state *peerapi.FleetState, done func(time.Duration, *peerapi.FleetState, error)) {
	go func() {
		answer, err := exchange(t.context, conn, state)
		t.loop.Post(func(now time.Duration) { done(now, answer, err) })
	}()
}

// exchanged takes the result of an exchange.
func (t *Task) exchanged(now time.Duration, ip netip.Addr, b broadcast, answer *peerapi.FleetState, err error) {
	delete(t.busy, ip)
	due := t.again[ip]
	delete(t.again, ip)
	if err != nil {
		t.unanswered(now, ip, err)
		if due != nil {
			b.add(*due)
		}
		t.tell(now, b, treeFanout) // the peer tells nobody
		return
	}
	t.merge(now, answer)
	if due != nil {
		t.contact(now, ip, *due)
	}
}

// unanswered notes a failed exchange. A known member is contacted once more at
// once, on a new connection.
func (t *Task) unanswered(now time.Duration, ip netip.Addr, err error) {
	t.clients.drop(ip)
	failures := t.roster.failed(now, ip)
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
		t.spread(aFew)
	}
}

// state returns this instance's state for a peer whose records are complete up
// to known. Changes are left out when that is not known.
func (t *Task) state(now time.Duration, to netip.Addr, known uint64, changes bool) *peerapi.FleetState {
	s := &peerapi.FleetState{Self: memberMessage(t.roster.self), Revision: t.set.Revision()}
	for _, m := range t.roster.news(now, to) {
		s.Members = append(s.Members, memberMessage(m))
	}
	for _, strike := range t.strikes.next(len(t.roster.peers), to, t.isFar(to)) {
		s.Strikes = append(s.Strikes, strikeMessage(now, strike))
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
func (t *Task) merge(now time.Duration, s *peerapi.FleetState) (stranger bool) {
	if s.GetSelf() == nil {
		return false
	}
	sender := memberOf(s.GetSelf())
	former := t.roster.peers[sender.IP]
	stranger = former == nil || former.Incarnation != sender.Incarnation
	if former != nil && former.failures > 0 {
		t.options.Log.Info("regained a peer", "peer", sender.IP.String())
	}
	t.roster.learn(now, sender, true)
	if p := t.roster.peers[sender.IP]; p != nil {
		p.revision = s.GetRevision()
	}
	for _, m := range s.GetMembers() {
		if member := memberOf(m); t.roster.learn(now, member, false) && !t.busy[member.IP] {
			t.contact(now, member.IP, broadcast{})
		}
	}
	if t.roster.declaredDown {
		t.roster.declaredDown = false
		t.options.Log.Warn("others say that this instance is down", "said_by", sender.IP.String())
		t.spread(aFew)
	}
	t.mergeStrikes(now, s, sender.IP)
	t.mergeRecords(now, s, sender.IP)
	if relay := addressesOf(s.GetRelay()); len(relay) > 0 {
		t.owed.add(broadcast{changes: s.GetHasChanges(), after: s.GetChangesAfter(), relay: relay})
	}
	if len(t.owed.relay) > 0 && t.set.Revision() >= s.GetRevision() {
		owed := t.owed
		t.owed = broadcast{}
		t.tell(now, owed, treeFanout)
	}
	return stranger
}

// mergeStrikes passes on the strikes that were not known.
func (t *Task) mergeStrikes(now time.Duration, s *peerapi.FleetState, sender netip.Addr) {
	var news []quarantine.FailureReport
	for _, m := range s.GetStrikes() {
		strike, err := strikeOf(now, m)
		if err != nil {
			t.options.Log.Warn("strike of a peer not readable", "peer", sender.String(), "error", err.Error())
			continue
		}
		if t.strikes.add(strike, sender) {
			news = append(news, strike)
		}
	}
	if len(news) > 0 && t.options.OnFailureReports != nil {
		t.options.OnFailureReports(news)
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
	list, err := recordsOf(s)
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
	if len(news) == 0 {
		return
	}
	t.apply(now, news)
	if len(s.GetRelay()) == 0 && t.isFar(sender) {
		t.spread(inDomain) // nobody has told this domain, or it was missed
	}
}
