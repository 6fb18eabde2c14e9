package membership

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/peerapi"
)

// Members is the state of the fleet as one instance sees it. It is not safe
// for concurrent use. Times are since the start of the process.
type Members struct {
	options        MembersOptions
	self           Peer
	heartbeat      uint64
	members        []*member // sorted by identifier
	cursor         int       // next entry of members to send
	draining       drainingSet
	leavingTargets []string // leaving targets of the list
	listRead       bool
	peerResponded  bool // a peer answered

	ticked    bool
	lastTick  time.Duration
	nextRound time.Duration
	push      pusher
	stale     bool
	resumedAt time.Duration
	rejected  uint64
}

// NewMembers returns the state of an instance that knows no other.
func NewMembers(o MembersOptions) *Members {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Members{options: o, self: o.Self, push: newPusher()}
}

// Tick advances time and returns the peers to exchange with now. It is called
// at least every fifth of the interval.
func (m *Members) Tick(now time.Duration) []Peer {
	m.detectPause(now)
	m.ticked = true
	m.draining.expire(now)
	m.removeDeparted(now)
	if now >= m.nextRound {
		m.nextRound = now + m.options.Interval*9/10 + time.Duration(m.options.Rand.Int64N(int64(m.options.Interval)/5))
		m.heartbeat++
		m.push.clear()
		return m.selectPeers(now, true)
	}
	if m.push.due(now) {
		m.heartbeat++
		return m.selectPeers(now, false)
	}
	return nil
}

// removeDeparted drops members that are proven gone.
func (m *Members) removeDeparted(now time.Duration) {
	m.members = slices.DeleteFunc(m.members, func(o *member) bool { return o.departed(now, m.listRead) })
}

// selectPeers picks peers at random. In a round, one of the silent peers takes a
// place in turn, so that a partition is noticed to have healed.
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

// HandleResponse takes the answer to an exchange that was started at the given time.
func (m *Members) HandleResponse(now, started time.Duration, id string, s *peerapi.State) {
	m.EndExchange(id) // ends the exchange
	if s.GetId() == id && m.Receive(now, s) {
		m.peerResponded = true
		m.clearStale(started)
	}
}

// EndExchange ends an exchange without a usable answer.
func (m *Members) EndExchange(id string) {
	if o := m.find(id); o != nil {
		o.busyUntil = 0
	}
}

// SetConfiguration records the configuration in force and pushes a change.
func (m *Members) SetConfiguration(version uint64, digest string) {
	if m.self.Version != version || m.self.Digest != digest {
		m.self.Version, m.self.Digest = version, digest
		m.push.request()
	}
}

// Leave records that this instance is leaving and pushes it.
func (m *Members) Leave() {
	if !m.self.Leaving {
		m.self.Leaving = true
		m.push.request()
	}
}

// AddDraining records a target that this instance saw draining.
func (m *Members) AddDraining(now time.Duration, address string) {
	if m.draining.add(now, address, now) {
		m.push.request()
	}
}

// ApplyList takes a list of the platform that was read from the given time on.
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

// applyListEntry takes one entry. The addresses that the member itself told win.
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
		o.lastContact = now // the platform saw it; counts for gone, not for liveness
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

// findOrAdd returns the member, or nil when there is no room for another one.
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

// addresses returns the addresses at which peers can be called.
func (m *Members) addresses() map[string]bool {
	addresses := make(map[string]bool, len(m.members))
	for _, o := range m.members {
		addresses[o.PeerAddress] = true
	}
	return addresses
}
