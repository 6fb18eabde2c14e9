package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

const (
	// treeFanout is the number of peers to which an instance sends a broadcast directly.
	// Each of them forwards it to its share of the rest, so every instance receives a
	// change once and no instance sends it often.
	treeFanout = 6
	// remoteFanout is the number of such peers in each other failure domain. It is low to
	// save bytes between domains.
	remoteFanout = 1
	// broadcastDelay is the delay before a broadcast, so that changes that arrive together
	// are sent in one message.
	broadcastDelay = 30 * time.Millisecond
)

// scope determines which instances a broadcast reaches.
type scope int

// Scopes, from the smallest.
const (
	scopeFew    scope = iota + 1 // some instances, which spread the change by their regular exchanges
	scopeDomain                  // this failure domain
	scopeFleet                   // all failure domains
)

// scheduleBroadcast starts a broadcast after broadcastDelay. If one is scheduled already,
// it gets the larger of the two scopes.
func (t *Task) scheduleBroadcast(s scope) {
	t.broadcastScope = max(t.broadcastScope, s)
	if t.broadcastScheduled {
		return
	}
	t.broadcastScheduled = true
	time.AfterFunc(broadcastDelay, func() {
		t.loop.Post(func(now time.Duration) {
			if t.broadcastScheduled { // not if one was made at once meanwhile
				t.broadcastNow(now)
			}
		})
	})
}

// broadcastNow starts the scheduled broadcast.
func (t *Task) broadcastNow(now time.Duration) {
	reach := t.broadcastScope
	t.broadcastScheduled, t.broadcastScope = false, 0
	domains := t.liveByDomain(now)
	for domain, list := range domains {
		fanout := treeFanout
		if domain != t.options.Domain {
			fanout = remoteFanout
		}
		switch {
		case reach == scopeFew:
			t.forward(now, broadcast{relay: list[:min(fanout, len(list))]}, fanout)
		case reach == scopeFleet || domain == t.options.Domain:
			t.forward(now, broadcast{sendChanges: true, changesAfter: t.broadcastPosition, relay: list}, fanout)
		}
	}
	if reach == scopeFleet {
		t.broadcastThroughOthers(now, domains)
	}
	if reach != scopeFew {
		t.broadcastPosition = t.set.Position()
	}
}

// broadcastThroughOthers sends a broadcast to the failure domains of which this instance
// reaches no member, though none is known to be down, through a member of another domain:
// only the link between the two domains may be cut.
func (t *Task) broadcastThroughOthers(now time.Duration, live map[int][]netip.Addr) {
	var relays []netip.Addr
	for domain, list := range live {
		if domain != t.options.Domain {
			relays = append(relays, list[0])
		}
	}
	if len(relays) == 0 {
		return
	}
	unreached := make(map[int][]netip.Addr)
	for _, p := range t.roster.silentPeers(now) {
		if _, ok := live[p.Domain]; !ok && !p.State.Has(Down) && !p.State.Has(Leaving) {
			unreached[p.Domain] = append(unreached[p.Domain], p.IP)
		}
	}
	for _, list := range unreached {
		slices.SortFunc(list, t.comparePeers)
		t.contact(now, relays[0], broadcast{sendChanges: true, changesAfter: t.broadcastPosition, relay: list})
	}
}

// liveByDomain returns the live peers of each failure domain in this instance's own
// order, so that broadcasts reuse the same connections.
func (t *Task) liveByDomain(now time.Duration) map[int][]netip.Addr {
	domains := make(map[int][]netip.Addr)
	for _, p := range t.roster.livePeers(now) {
		domains[p.Domain] = append(domains[p.Domain], p.IP)
	}
	for _, list := range domains {
		slices.SortFunc(list, t.comparePeers)
	}
	return domains
}

// forward sends a broadcast to the instances in b.relay: directly to the first ones, at
// most fanout, each of which forwards it to its share of the rest.
func (t *Task) forward(now time.Duration, b broadcast, fanout int) {
	peers := b.relay
	fanout = min(fanout, len(peers))
	for i := range fanout {
		subtree := broadcast{sendChanges: b.sendChanges, changesAfter: b.changesAfter}
		for j := i + fanout; j < len(peers); j += fanout {
			subtree.relay = append(subtree.relay, peers[j])
		}
		t.contact(now, peers[i], subtree)
	}
}

// broadcastUnlessFirstReaderDoes broadcasts a change that the store returned, unless the
// first reader is another instance that has it too: then that instance broadcasts it.
func (t *Task) broadcastUnlessFirstReaderDoes(now time.Duration) {
	candidates := t.roster.candidates(now)
	if len(candidates) == 0 || candidates[0].self || !candidates[0].member.State.Has(Reading) {
		t.scheduleBroadcast(scopeFleet)
		return
	}
	conn, err := t.clients.get(candidates[0].member.IP)
	if err != nil {
		t.options.Log.Error("cannot create gRPC client for peer", "peer", candidates[0].member.IP.String(), "error", err.Error())
		t.scheduleBroadcast(scopeFleet)
		return
	}
	position := t.set.Position()
	// The query contains no changes: the first reader must have them from the store.
	query := &peerapi.FleetState{Self: memberMessage(t.roster.self), Era: position.Era, Revision: position.Revision}
	t.send(conn, query, func(now time.Duration, answer *peerapi.FleetState, err error) {
		if err == nil {
			t.merge(now, answer)
		}
		if err != nil || t.positionFromMessage(answer).Compare(position) < 0 {
			t.scheduleBroadcast(scopeFleet)
		}
	})
}
