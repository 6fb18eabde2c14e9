package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

const (
	// treeFanout is how many peers an instance tells of a change at once. Each of
	// them tells its part of the others in turn, so every instance hears of a
	// change once, and nobody has much to send.
	treeFanout = 6
	// remoteFanout is the same for each other failure domain, which bounds the bytes
	// between domains.
	remoteFanout = 1
	// broadcastDelay gathers changes that arrive together into one message.
	broadcastDelay = 30 * time.Millisecond
)

// scope is how far a change is told.
type scope int

// Reaches, from the least.
const (
	scopeFew    scope = iota + 1 // some instances, which pass it on with their exchanges
	scopeDomain                  // the own failure domain
	scopeFleet                   // all failure domains
)

// scheduleBroadcast tells peers of a change soon.
func (t *Task) scheduleBroadcast(r scope) {
	t.broadcastScope = max(t.broadcastScope, r)
	if t.broadcastScheduled {
		return
	}
	t.broadcastScheduled = true
	time.AfterFunc(broadcastDelay, func() { t.loop.Post(t.broadcastNow) })
}

func (t *Task) broadcastNow(now time.Duration) {
	reach := t.broadcastScope
	t.broadcastScheduled, t.broadcastScope = false, 0
	for domain, list := range t.liveByDomain(now) {
		fanout := treeFanout
		if domain != t.options.Domain {
			fanout = remoteFanout
		}
		switch {
		case reach == scopeFew:
			t.forward(now, broadcast{relay: list[:min(fanout, len(list))]}, fanout)
		case reach == scopeFleet || domain == t.options.Domain:
			t.forward(now, broadcast{sendChanges: true, changesAfter: t.broadcastRevision, relay: list}, fanout)
		}
	}
	if reach != scopeFew {
		t.broadcastRevision = t.set.Revision()
	}
}

// liveByDomain returns the live peers of each failure domain in this instance's
// own order, so that it keeps to the same connections.
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

// forward passes a broadcast on to the instances in relay: it contacts some of them,
// each of which tells its part of the rest.
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

// broadcastUnlessFirstReaderDoes spreads a change that the store told, unless the first reader
// has it too: that one spreads it.
func (t *Task) broadcastUnlessFirstReaderDoes(now time.Duration) {
	candidates := t.roster.candidates(now)
	if len(candidates) == 0 || candidates[0].self || !candidates[0].member.State.Has(Reading) {
		t.scheduleBroadcast(scopeFleet)
		return
	}
	conn, err := t.clients.get(candidates[0].member.IP)
	if err != nil {
		t.options.Log.Error("no client for a peer", "peer", candidates[0].member.IP.String(), "error", err.Error())
		t.scheduleBroadcast(scopeFleet)
		return
	}
	revision := t.set.Revision()
	// The change itself is not sent: the first reader must have it from the store.
	query := &peerapi.FleetState{Self: memberMessage(t.roster.self), Revision: revision}
	t.send(conn, query, func(now time.Duration, answer *peerapi.FleetState, err error) {
		if err == nil {
			t.merge(now, answer)
		}
		if err != nil || answer.GetRevision() < revision {
			t.scheduleBroadcast(scopeFleet)
		}
	})
}
