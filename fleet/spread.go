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
	// spreadDelay gathers changes that arrive together into one message.
	spreadDelay = 30 * time.Millisecond
)

// reach is how far a change is told.
type reach int

// Reaches, from the least.
const (
	aFew     reach = iota + 1 // some instances, which pass it on with their exchanges
	inDomain                  // the own failure domain
	inFleet                   // all failure domains
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
	t.spreading, t.reach = false, 0
	for domain, list := range t.liveByDomain(now) {
		heads := treeFanout
		if domain != t.options.Domain {
			heads = remoteFanout
		}
		switch {
		case reach == aFew:
			t.tell(now, broadcast{relay: list[:min(heads, len(list))]}, heads)
		case reach == inFleet || domain == t.options.Domain:
			t.tell(now, broadcast{changes: true, after: t.told, relay: list}, heads)
		}
	}
	if reach != aFew {
		t.told = t.set.Revision()
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
		slices.SortFunc(list, t.compare)
	}
	return domains
}

// tell passes a broadcast on to the instances in relay: it contacts some of them,
// each of which tells its part of the rest.
func (t *Task) tell(now time.Duration, b broadcast, heads int) {
	list := b.relay
	heads = min(heads, len(list))
	for i := range heads {
		part := broadcast{changes: b.changes, after: b.after}
		for j := i + heads; j < len(list); j += heads {
			part.relay = append(part.relay, list[j])
		}
		t.contact(now, list[i], part)
	}
}

// spreadUnlessTold spreads a change that the store told, unless the first reader
// has it too: that one spreads it.
func (t *Task) spreadUnlessTold(now time.Duration) {
	first := t.roster.candidates(now)
	if len(first) == 0 || first[0].self || !first[0].member.State.Has(Reading) {
		t.spread(inFleet)
		return
	}
	conn, err := t.clients.get(first[0].member.IP)
	if err != nil {
		t.options.Log.Error("no client for a peer", "peer", first[0].member.IP.String(), "error", err.Error())
		t.spread(inFleet)
		return
	}
	revision := t.set.Revision()
	// The change itself is not sent: the first reader must have it from the store.
	question := &peerapi.FleetState{Self: memberMessage(t.roster.self), Revision: revision}
	t.send(conn, question, func(now time.Duration, answer *peerapi.FleetState, err error) {
		if err == nil {
			t.merge(now, answer)
		}
		if err != nil || answer.GetRevision() < revision {
			t.spread(inFleet)
		}
	})
}
