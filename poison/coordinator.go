package poison

import (
	"slices"
	"time"
)

// lease is the exclusive right of one instance to run a trial of a fingerprint
// or on a target.
type lease struct {
	holder    string // ID of the instance
	expiresAt time.Duration
}

// pastView is a former set of members whose coordinators may have granted leases
// that have not expired.
type pastView struct {
	members        []string
	leasesExpireAt time.Duration
}

// maxPastViews bounds the number of past views. Beyond it, all are dropped and no
// leases are granted until the leases of each of them must have expired.
const maxPastViews = 16

// Coordinator grants the leases of the keys whose coordinator this instance is.
// Its methods must be called by one goroutine at a time. Times are since the
// start of the instance.
type Coordinator struct {
	options       Options
	self          string
	members       []string
	pastViews     []pastView
	noGrantsUntil time.Duration
	leases        map[Fingerprint]lease
}

// NewCoordinator returns a coordinator that grants no leases before the first
// call of SetMembers.
func NewCoordinator(o Options) *Coordinator {
	return &Coordinator{options: o.withDefaults(), leases: make(map[Fingerprint]lease)}
}

// SetMembers replaces the set of live instances, which includes self. After a
// change, leases on keys that had another coordinator are not granted until
// the leases granted by that coordinator must have expired. A new instance does
// not know earlier sets, so it grants no leases at all for the same time.
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

// Grant grants a lease on a key to a holder and returns true. It returns false
// if this instance is not the coordinator of the key or a former one may
// still have a lease out, if the key has a lease that has not expired, or if
// MaxLeases is reached.
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

// Release ends a lease. It ignores a lease of another holder, and leaves the
// lease to expire for VerdictTargetCrashed.
func (c *Coordinator) Release(key Fingerprint, holder string, v Verdict) {
	if l, ok := c.leases[key]; ok && l.holder == holder && v != VerdictTargetCrashed {
		delete(c.leases, key)
	}
}

// Tick removes expired leases.
func (c *Coordinator) Tick(now time.Duration) {
	for key, l := range c.leases { // entries are independent, so the order does not matter
		if l.expiresAt <= now {
			delete(c.leases, key)
		}
	}
}
