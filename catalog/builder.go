package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// LapseGrace is how long a target is kept after its entry expired while the store
// was unavailable. A running target registers again within about two seconds after
// the store is available.
const LapseGrace = 2 * time.Second

// Builder collects configurations and targets and builds views. One goroutine owns
// it.
type Builder struct {
	config        *Config
	matcher       *Matcher
	entries       map[string]*targetEntry
	lapsedEntries int // number of entries with removeAt set
	removed       removedTargets
}

type targetEntry struct {
	target *Target
	// removeAt is when a lapsed entry is removed, or 0 if it has not lapsed.
	removeAt time.Duration
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder { return &Builder{entries: make(map[string]*targetEntry)} }

// SetConfig replaces the configuration in force if c has a higher version, and
// reports whether it did.
func (b *Builder) SetConfig(c *Config) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.config, b.matcher = c, NewMatcher(c.Routes)
	return true
}

// SetTarget replaces the entry of key, and reports whether it did. A nil target, for an
// entry that cannot be used, deletes it. A registration older than the current one, or
// not later than the one before a removal, is ignored: it comes from an older state of
// the store.
func (b *Builder) SetTarget(key string, t *Target) bool {
	if t == nil {
		b.deleteEntry(key)
		return true
	}
	e := b.entries[key]
	if e != nil && t.compareRegistration(e.target) < 0 {
		b.endLapse(e) // the store lists the target again
		return false
	}
	if !b.removed.allows(key, t) {
		return false
	}
	b.deleteEntry(key)
	b.entries[key] = &targetEntry{target: t}
	return true
}

// Remove deletes the entry of key. If it lapsed, it is kept for LapseGrace, unless
// the target was draining.
func (b *Builder) Remove(now time.Duration, key string, lapsed bool) {
	e := b.entries[key]
	if e == nil {
		return
	}
	if lapsed && !e.target.Draining {
		if e.removeAt == 0 {
			e.removeAt = now + LapseGrace
			b.lapsedEntries++
		}
		return
	}
	b.removed.add(key, e.target)
	b.deleteEntry(key)
}

func (b *Builder) deleteEntry(key string) {
	if e := b.entries[key]; e != nil {
		b.endLapse(e)
	}
	delete(b.entries, key)
}

func (b *Builder) endLapse(e *targetEntry) {
	if e.removeAt > 0 {
		e.removeAt = 0
		b.lapsedEntries--
	}
}

// Expire deletes the lapsed entries whose grace period has ended, and reports
// whether there were any.
func (b *Builder) Expire(now time.Duration) bool {
	if b.lapsedEntries == 0 {
		return false
	}
	before := len(b.entries)
	for key, e := range b.entries {
		if e.removeAt > 0 && now >= e.removeAt {
			b.deleteEntry(key)
		}
	}
	return len(b.entries) != before
}

// Build returns a view of the current state. position is the position in the store's
// history up to which the state is complete.
func (b *Builder) Build(now time.Duration, position records.Position) *View {
	v := &View{Config: b.config, Routes: b.matcher, Targets: make(map[string][]*Target), Position: position, BuiltAt: now}
	for _, e := range b.entries {
		if !e.target.Draining {
			v.Targets[e.target.Service] = append(v.Targets[e.target.Service], e.target)
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
