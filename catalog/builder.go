package catalog

import (
	"cmp"
	"slices"
	"time"
)

// LapseGrace is how long a target is kept after its entry expired while the
// store was unavailable: a living target is registered again within about two
// seconds of the store's return.
const LapseGrace = 2 * time.Second

// Builder collects decoded records and builds views. One goroutine owns it.
type Builder struct {
	config  *Config
	matcher *Matcher
	targets map[string]*entry
	lapsed  int // entries that lapsed and are kept
}

type entry struct {
	target *Target
	// until is when a lapsed target counts as gone; zero: not lapsed.
	until time.Duration
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder { return &Builder{targets: make(map[string]*entry)} }

// SetConfig puts a configuration in force unless it is older than the one in
// force, and reports whether it did.
func (b *Builder) SetConfig(c *Config) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.config, b.matcher = c, NewMatcher(c.Routes)
	return true
}

// SetTarget replaces the entry under key. A nil target names no target to use.
// A report that is older than the one known is ignored.
func (b *Builder) SetTarget(key string, t *Target) {
	if t == nil {
		b.drop(key)
		return
	}
	if e := b.targets[key]; e != nil && t.olderThan(e.target) {
		return
	}
	b.drop(key)
	b.targets[key] = &entry{target: t}
}

// Remove drops the entry under key. A lapsed entry is kept for LapseGrace,
// unless the target had said that it drains.
func (b *Builder) Remove(now time.Duration, key string, lapsed bool) {
	e := b.targets[key]
	if e != nil && lapsed && !e.target.Draining {
		if e.until == 0 {
			e.until = now + LapseGrace
			b.lapsed++
		}
		return
	}
	b.drop(key)
}

func (b *Builder) drop(key string) {
	if e := b.targets[key]; e != nil && e.until > 0 {
		b.lapsed--
	}
	delete(b.targets, key)
}

// Expire drops lapsed entries whose time has passed and reports whether there
// were any.
func (b *Builder) Expire(now time.Duration) bool {
	if b.lapsed == 0 {
		return false
	}
	before := len(b.targets)
	for key, e := range b.targets {
		if e.until > 0 && now >= e.until {
			b.drop(key)
		}
	}
	return len(b.targets) != before
}

// Build returns a view of the present state.
func (b *Builder) Build(now time.Duration, revision uint64) *View {
	v := &View{Config: b.config, Routes: b.matcher, Targets: make(map[string][]*Target), Revision: revision, BuiltAt: now}
	for _, e := range b.targets {
		if !e.target.Draining {
			v.Targets[e.target.Service] = append(v.Targets[e.target.Service], e.target)
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
