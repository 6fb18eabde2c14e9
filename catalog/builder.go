package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/records"
)

// LapseGrace is how long a target, or the evacuation of a failure domain, is kept after its
// entry expired while the store was unavailable or was lost with a restore. A running target
// registers again within about two seconds after the store is available, and the operators
// write their records again.
const LapseGrace = 2 * time.Second

// refusedWait is how long the store must list a registration that was refused, since the
// target was removed before, until the target is used all the same. The entry of a target
// that has left expires after three missed reports, which are a few seconds apart.
const refusedWait = 15 * time.Second

// Builder collects configurations and targets and builds views. One goroutine owns
// it.
type Builder struct {
	config        *Config
	matcher       *Matcher
	entries       map[string]*targetEntry
	lapsedEntries int // number of entries with removeAt set
	removed       removedTargets
	refused       map[string]*refusedTarget
	evacuations   map[string]*evacuation
	targets       targetLists
}

// evacuation is the record that evacuates a failure domain.
type evacuation struct {
	domain string
	// removeAt is when a lapsed record is removed, or 0 if it has not lapsed.
	removeAt time.Duration
}

// refusedTarget is a target whose registration is not later than the one before its
// removal.
type refusedTarget struct {
	target *Target
	// useAt is when the target is used if the store still lists it, 0 before the first
	// call of Expire.
	useAt time.Duration
}

type targetEntry struct {
	target *Target
	// removeAt is when a lapsed entry is removed, or 0 if it has not lapsed.
	removeAt time.Duration
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder {
	return &Builder{entries: make(map[string]*targetEntry), refused: make(map[string]*refusedTarget),
		evacuations: make(map[string]*evacuation), targets: newTargetLists()}
}

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
// entry that cannot be used, deletes it. A registration older than the current one is
// ignored: it comes from an older state of the store. One not later than the last one
// before a removal is used only if the store still lists it after refusedWait.
func (b *Builder) SetTarget(key string, t *Target) bool {
	e := b.entries[key]
	switch {
	case t == nil:
		b.deleteEntry(key)
		return true
	case e != nil && t.compareRegistration(e.target) < 0:
		b.endLapse(e) // the store lists the target again
		return false
	case b.removed.isOutdated(key, t):
		b.refused[key] = &refusedTarget{target: t}
		return false
	}
	b.use(key, t)
	return true
}

func (b *Builder) use(key string, t *Target) {
	b.deleteEntry(key)
	b.removed.forget(key)
	b.entries[key] = &targetEntry{target: t}
	b.targets.changed[key] = true
}

// SetEvacuated evacuates a failure domain until the record of key is removed.
func (b *Builder) SetEvacuated(key, domain string) {
	b.evacuations[key], b.targets.all = &evacuation{domain: domain}, true
}

// Remove deletes the entry of key. If it lapsed, it is kept for LapseGrace, unless
// it is that of a draining target.
func (b *Builder) Remove(now time.Duration, key string, lapsed bool) {
	if e := b.evacuations[key]; e != nil {
		switch {
		case !lapsed:
			delete(b.evacuations, key)
			b.targets.all = true
		case e.removeAt == 0: // a restored store lacks it until the operators write it again
			e.removeAt = now + LapseGrace
		}
		return
	}
	delete(b.refused, key)
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
	delete(b.refused, key)
	b.targets.changed[key] = true
}

func (b *Builder) endLapse(e *targetEntry) {
	if e.removeAt > 0 {
		e.removeAt = 0
		b.lapsedEntries--
	}
}

// Expire deletes the lapsed records whose grace period has ended, uses the refused targets
// that the store has listed for refusedWait, and reports whether there were any.
func (b *Builder) Expire(now time.Duration) (changed bool) {
	if b.lapsedEntries > 0 {
		for key, e := range b.entries {
			if e.removeAt > 0 && now >= e.removeAt {
				b.deleteEntry(key)
				changed = true
			}
		}
	}
	for key, e := range b.evacuations {
		if e.removeAt > 0 && now >= e.removeAt {
			delete(b.evacuations, key)
			changed, b.targets.all = true, true
		}
	}
	for key, r := range b.refused {
		switch {
		case r.useAt == 0:
			r.useAt = now + refusedWait
		case now >= r.useAt:
			b.use(key, r.target)
			changed = true
		}
	}
	return changed
}

// Build returns a view of the current state. position is the position in the store's
// history up to which the state is complete.
func (b *Builder) Build(now time.Duration, position records.Position) *View {
	v := &View{Config: b.config, Routes: b.matcher, Position: position, BuiltAt: now}
	for _, e := range b.evacuations {
		v.Evacuated = append(v.Evacuated, e.domain)
	}
	slices.Sort(v.Evacuated)
	v.Targets = b.targets.update(func(key string) *Target {
		e := b.entries[key]
		if e == nil || e.target.Draining || slices.Contains(v.Evacuated, e.target.FailureDomain) {
			return nil
		}
		return e.target
	}, maps.Keys(b.entries))
	return v
}
