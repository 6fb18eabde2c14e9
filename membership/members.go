package membership

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Members is the state of the fleet as seen by one instance. It is not safe for
// concurrent use. All times are durations since the start of the process.
type Members struct {
	options        MembersOptions
	self           Peer
	heartbeat      uint64
	members        []*member // sorted by identifier
	cursor         int       // index of the entry that was considered last for a message
	draining       drainingSet
	leavingTargets []string // from the platform's list, sorted
	listRead       bool
	peerResponded  bool // a peer has responded to an exchange

	ticked    bool
	lastEvent time.Duration
	nextRound time.Duration
	push      pusher
	stale     bool
	resumedAt time.Duration
	rejected  uint64
}

// NewMembers returns the state of an instance that does not know any peers yet.
func NewMembers(o MembersOptions) *Members {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Members{options: o, self: o.Self, push: newPusher()}
}

// Tick advances the time and returns the peers to exchange states with now. The
// caller calls it at least five times per interval.
func (m *Members) Tick(now time.Duration) []Peer {
	m.detectPause(now)
	m.ticked = true
	m.draining.expire(now)
	m.removeDeparted(now)
	if now >= m.nextRound {
		m.nextRound = now + m.options.Interval*9/10 + time.Duration(m.options.Rand.Int64N(int64(m.options.Interval)/5))
		m.heartbeat++
		m.push.cancel()
		return m.selectPeers(now, true)
	}
	if m.push.due(now) {
		m.heartbeat++
		return m.selectPeers(now, false)
	}
	return nil
}

// removeDeparted drops members that have departed.
func (m *Members) removeDeparted(now time.Duration) {
	m.members = slices.DeleteFunc(m.members, func(o *member) bool { return o.departed(now, m.listRead) })
}

// selectPeers picks at most fanout peers at random and marks them as busy. In a
// round, one of them is a dead peer if there is any, so that the instances
// detect when a partition has healed.
func (m *Members) selectPeers(now time.Duration, round bool) []Peer {
	var live, dead []*member
	for _, o := range m.members {
		switch {
		case o.PeerAddress == "" || now < o.busyUntil:
		case o.liveness(now) == Dead:
			dead = append(dead, o)
		default:
			live = append(live, o)
		}
	}
	m.options.Rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	selected := live[:min(fanout, len(live))]
	if round && len(dead) > 0 {
		selected = append(selected[:min(fanout-1, len(selected))], dead[m.options.Rand.IntN(len(dead))])
	}
	peers := make([]Peer, len(selected))
	for i, o := range selected {
		o.busyUntil = now + exchangeExpiry
		peers[i] = o.peer(now)
	}
	return peers
}

// HandleResponse processes the peer's response to an exchange that was started
// at the given time. id is the identifier of the peer that was called.
func (m *Members) HandleResponse(now, started time.Duration, id string, s *peerapi.State) {
	m.EndExchange(id)
	if s.GetId() == id && m.Receive(now, s) {
		m.peerResponded = true
		m.clearStale(started)
	}
}

// EndExchange marks the exchange with a peer as ended. It is called for an
// exchange that failed; HandleResponse includes it.
func (m *Members) EndExchange(id string) {
	if o := m.find(id); o != nil {
		o.busyUntil = 0
	}
}

// SetConfiguration records the configuration in force and requests an immediate
// push if it changed.
func (m *Members) SetConfiguration(version uint64, digest string) {
	if m.self.Version != version || m.self.Digest != digest {
		m.self.Version, m.self.Digest = version, digest
		m.push.request()
	}
}

// Leave records that this instance is leaving and requests an immediate push.
func (m *Members) Leave() {
	if !m.self.Leaving {
		m.self.Leaving = true
		m.push.request()
	}
}

// AddDraining records a target that this instance saw draining now. It requests
// an immediate push if the target is new.
func (m *Members) AddDraining(now time.Duration, address string) {
	if m.draining.add(now, address, now) {
		m.push.request()
	}
}

// ApplyList applies the platform's list of instances. started is the time at
// which the call that read it was started.
func (m *Members) ApplyList(now, started time.Duration, list *configservice.List) {
	m.detectPause(now)
	m.clearStale(started)
	for _, o := range m.members {
		o.listed, o.listedLeaving = false, false
	}
	for _, instance := range list.Instances {
		if instance.ID != m.self.ID {
			m.applyListEntry(now, instance)
		}
	}
	m.listRead = true
	m.leavingTargets = slices.Sorted(slices.Values(list.LeavingTargets))
}

// applyListEntry applies one entry of the list. Addresses that the member itself
// announced take precedence while it is not dead.
func (m *Members) applyListEntry(now time.Duration, instance configservice.Instance) {
	o := m.findOrAdd(now, instance.ID)
	if o == nil {
		return
	}
	o.listed, o.listedLeaving = true, instance.State == configservice.InstanceLeaving
	if !o.hasHeartbeat || o.PeerAddress == "" || o.liveness(now) == Dead {
		o.FailureDomain, o.PeerAddress = instance.FailureDomain, instance.PeerAddress
		o.CallerAddress, o.AdminAddress = instance.CallerAddress, instance.AdminAddress
	}
	if !o.hasHeartbeat {
		o.lastContact = now // the entry postpones departure but does not affect liveness
	}
}

func (m *Members) find(id string) *member {
	if n, found := m.search(id); found {
		return m.members[n]
	}
	return nil
}

func (m *Members) search(id string) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(o *member, id string) int {
		switch {
		case o.ID < id:
			return -1
		case o.ID > id:
			return 1
		}
		return 0
	})
}

// findOrAdd returns the member with the given identifier. It adds one if there
// is none, or returns nil if the limit of maxMembers is reached.
func (m *Members) findOrAdd(now time.Duration, id string) *member {
	n, found := m.search(id)
	if found {
		return m.members[n]
	}
	if len(m.members) >= maxMembers {
		m.rejected++
		return nil
	}
	o := &member{Peer: Peer{ID: id}, lastContact: now, silentSince: now}
	m.members = slices.Insert(m.members, n, o)
	return o
}

// addresses returns the set of the members' peer addresses.
func (m *Members) addresses() map[string]bool {
	addresses := make(map[string]bool, len(m.members))
	for _, o := range m.members {
		addresses[o.PeerAddress] = true
	}
	return addresses
}
