package poison

import (
	"slices"
	"time"
)

// lease is a trial that was granted and has not ended.
type lease struct {
	holder string
	until  time.Duration
}

// pastView is a former set of members whose coordinator may still have leases out.
type pastView struct {
	members []string
	until   time.Duration
}

// maxPastViews bounds the former sets; beyond it no leases are granted until
// the oldest sets have lapsed.
const maxPastViews = 16

// Coordinator is the state of the leases that one instance grants. It is used by
// one goroutine.
type Coordinator struct {
	options    Options
	self       string
	members    []string
	past       []pastView
	quarantine time.Duration // no grants before this time
	leases     map[Fingerprint]lease
}

// NewCoordinator returns a coordinator that grants nothing before SetMembers.
func NewCoordinator(o Options) *Coordinator {
	return &Coordinator{options: o.withDefaults(), leases: make(map[Fingerprint]lease)}
}

// SetMembers replaces the live instances. After a change, keys that may have
// had another coordinator are not granted until that coordinator's leases have
// expired. A new instance grants nothing for that time.
func (g *Coordinator) SetMembers(now time.Duration, self string, members []string) {
	lapse := now + g.options.Lease + g.options.ViewSkew
	members = slices.Sorted(slices.Values(members))
	switch {
	case g.members == nil:
		g.quarantine = lapse
	case slices.Equal(members, g.members) && self == g.self:
		return
	default:
		g.past = slices.DeleteFunc(g.past, func(v pastView) bool { return v.until <= now })
		g.past = append(g.past, pastView{members: g.members, until: lapse})
		if len(g.past) > maxPastViews {
			g.past, g.quarantine = nil, lapse
		}
	}
	g.self, g.members = self, members
}

// Grant gives a lease on a key to a holder, if this instance is the key's
// coordinator and no lease is out.
func (g *Coordinator) Grant(now time.Duration, key Fingerprint, holder string) bool {
	if now < g.quarantine || g.self == "" || CoordinatorOf(key, g.members) != g.self {
		return false
	}
	for _, view := range g.past {
		if now < view.until && CoordinatorOf(key, view.members) != g.self {
			return false
		}
	}
	if l, ok := g.leases[key]; ok && now < l.until {
		return false
	}
	if len(g.leases) >= g.options.MaxLeases {
		g.Tick(now)
		if len(g.leases) >= g.options.MaxLeases {
			return false
		}
	}
	g.leases[key] = lease{holder: holder, until: now + g.options.Lease}
	return true
}

// Release ends a lease. A lease of another holder, and that of a target that
// is gone, stays until it expires.
func (g *Coordinator) Release(key Fingerprint, holder string, v Verdict) {
	if l, ok := g.leases[key]; ok && l.holder == holder && v != VerdictTargetCrashed {
		delete(g.leases, key)
	}
}

// Tick forgets expired leases.
func (g *Coordinator) Tick(now time.Duration) {
	for key, l := range g.leases { // each entry is treated alone, so the order does not matter
		if l.until <= now {
			delete(g.leases, key)
		}
	}
}
