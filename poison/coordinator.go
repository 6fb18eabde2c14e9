package poison

import (
	"slices"
	"time"
)

// lease is a trial that was granted and has not ended.
type lease struct {
	holder    string
	expiresAt time.Duration
}

// pastView is a former set of members whose coordinator may still have leases out.
type pastView struct {
	members        []string
	leasesExpireAt time.Duration
}

// maxPastViews bounds the former sets; beyond it no leases are granted until
// the oldest sets have lapsed.
const maxPastViews = 16

// Coordinator is the state of the leases that one instance grants. It is used by
// one goroutine.
type Coordinator struct {
	options       Options
	self          string
	members       []string
	pastViews     []pastView
	noGrantsUntil time.Duration // no grants before this time
	leases        map[Fingerprint]lease
}

// NewCoordinator returns a coordinator that grants nothing before SetMembers.
func NewCoordinator(o Options) *Coordinator {
	return &Coordinator{options: o.withDefaults(), leases: make(map[Fingerprint]lease)}
}

// SetMembers replaces the live instances. After a change, keys that may have
// had another coordinator are not granted until that coordinator's leases have
// expired. A new instance grants nothing for that time.
func (c *Coordinator) SetMembers(now time.Duration, self string, members []string) {
	leasesExpireAt := now + c.options.Lease + c.options.ViewSkew
	members = slices.Sorted(slices.Values(members))
	switch {
	case c.members == nil:
		c.noGrantsUntil = leasesExpireAt
	case slices.Equal(members, c.members) && self == c.self:
		return
	default:
		c.pastViews = slices.DeleteFunc(c.pastViews, func(v pastView) bool { return v.leasesExpireAt <= now })
		c.pastViews = append(c.pastViews, pastView{members: c.members, leasesExpireAt: leasesExpireAt})
		if len(c.pastViews) > maxPastViews {
			c.pastViews, c.noGrantsUntil = nil, leasesExpireAt
		}
	}
	c.self, c.members = self, members
}

// Grant gives a lease on a key to a holder, if this instance is the key's
// coordinator and no lease is out.
func (c *Coordinator) Grant(now time.Duration, key Fingerprint, holder string) bool {
	if now < c.noGrantsUntil || c.self == "" || CoordinatorOf(key, c.members) != c.self {
		return false
	}
	for _, view := range c.pastViews {
		if now < view.leasesExpireAt && CoordinatorOf(key, view.members) != c.self {
			return false
		}
	}
	if l, ok := c.leases[key]; ok && now < l.expiresAt {
		return false
	}
	if len(c.leases) >= c.options.MaxLeases {
		c.Tick(now)
		if len(c.leases) >= c.options.MaxLeases {
			return false
		}
	}
	c.leases[key] = lease{holder: holder, expiresAt: now + c.options.Lease}
	return true
}

// Release ends a lease. A lease of another holder, and that of a target that
// is gone, stays until it expires.
func (c *Coordinator) Release(key Fingerprint, holder string, v Verdict) {
	if l, ok := c.leases[key]; ok && l.holder == holder && v != VerdictTargetCrashed {
		delete(c.leases, key)
	}
}

// Tick forgets expired leases.
func (c *Coordinator) Tick(now time.Duration) {
	for key, l := range c.leases { // each entry is treated alone, so the order does not matter
		if l.expiresAt <= now {
			delete(c.leases, key)
		}
	}
}
