package poison

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Detector keeps the records of suspicions, blocks and clearings that one
// instance knows. Times are since the start of the instance. Notices of
// suspicions and blocks that its methods return must be sent to the peers before
// the callers of the requests are answered; clearings may be sent later. Its
// methods must be called by one goroutine at a time.
type Detector struct {
	options    Options
	random     *rand.Rand
	table      recordTable
	activities map[string]*targetActivity // by target; decisions do not depend on the iteration order
}

// NewDetector returns a detector without records. random generates the IDs of
// records.
func NewDetector(o Options, random *rand.Rand) *Detector {
	o = o.withDefaults()
	return &Detector{options: o, random: random, activities: make(map[string]*targetActivity),
		table: recordTable{options: o, records: make(map[Fingerprint][]record)}}
}

// Admit returns the restriction that applies to a request now. blockedUntil is the
// end of the block if the restriction is Blocked, and zero otherwise.
func (d *Detector) Admit(now time.Duration, f Fingerprint) (restriction Restriction, blockedUntil time.Duration) {
	records, ok := d.table.records[f]
	if !ok {
		return Unrestricted, 0
	}
	return d.options.restriction(now, records)
}

// Merge merges notices of peers. They may arrive in any order and repeatedly.
// Notices with an unknown state are ignored.
func (d *Detector) Merge(now time.Duration, notices ...Notice) {
	for _, n := range notices {
		if n.State < StateSuspect || n.State > StateCleared {
			continue
		}
		d.table.merge(now, n.Fingerprint, record{id: n.ID, state: n.State, crashedTarget: n.CrashedTarget,
			expiresAt: now + min(n.Expires, d.options.maxLifetime(n.State))})
	}
}

// Notices returns notices of all records.
func (d *Detector) Notices(now time.Duration) []Notice {
	d.table.prune(now)
	notices := make([]Notice, 0, d.table.count)
	for _, f := range d.table.order {
		for _, r := range d.table.records[f] {
			notices = append(notices, r.notice(now, f))
		}
	}
	return notices
}

// SomeNotices returns notices of at most limit records, chosen at random, so that a peer
// that missed broadcasts receives each of them after a while.
func (d *Detector) SomeNotices(now time.Duration, limit int) []Notice {
	notices := d.Notices(now)
	d.random.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
	return notices[:min(limit, len(notices))]
}

// notice returns the notice of a record for peers.
func (r record) notice(now time.Duration, f Fingerprint) Notice {
	return Notice{Fingerprint: f, ID: r.id, State: r.state, CrashedTarget: r.crashedTarget, Expires: r.expiresAt - now}
}

// RecordCount returns the number of records.
func (d *Detector) RecordCount() int { return d.table.count }

// Tick removes expired records and the activity of idle targets.
func (d *Detector) Tick(now time.Duration) {
	d.table.prune(now)
	for target, activity := range d.activities { // entries are independent, so the order does not matter
		activity.pruneBroken(now - d.options.RefusedWindow)
		if len(activity.attempts) == 0 && len(activity.brokenAttempts) == 0 {
			delete(d.activities, target)
		}
	}
}

// addRecord adds a suspicion or block that this instance found and returns its
// notice. If an equal record still has more than nine tenths of its lifetime
// left, it returns the notice of that one instead. crashedTarget is zero if no
// crash is attributed to the fingerprint.
func (d *Detector) addRecord(now time.Duration, f Fingerprint, s State, crashedTarget uint64) Notice {
	for _, r := range d.table.records[f] {
		if r.state == s && (crashedTarget == 0 || r.crashedTarget == crashedTarget) && r.expiresAt-now > d.options.maxLifetime(s)*9/10 {
			return r.notice(now, f)
		}
	}
	r := record{id: d.random.Uint64(), state: s, crashedTarget: crashedTarget, expiresAt: now + d.options.maxLifetime(s)}
	d.table.merge(now, f, r)
	return r.notice(now, f)
}

// extendSuspicion renews the suspicion of a fingerprint if it would expire during
// the lease of a trial.
func (d *Detector) extendSuspicion(now time.Duration, f Fingerprint) []Notice {
	if s, _ := d.Admit(now+d.options.Lease, f); s != Unrestricted {
		return nil
	}
	return []Notice{d.addRecord(now, f, StateSuspect, 0)}
}

// clearRecords clears all records of a fingerprint and returns the notices of
// those that were not cleared before.
func (d *Detector) clearRecords(now time.Duration, f Fingerprint) []Notice {
	var notices []Notice
	for i := range d.table.records[f] {
		r := &d.table.records[f][i]
		if r.state != StateCleared {
			r.state, r.expiresAt = StateCleared, now+d.options.maxLifetime(StateCleared)
			notices = append(notices, r.notice(now, f))
		}
	}
	return notices
}

// targetHash returns the hash that identifies a target in attributed crashes. It
// is never zero, because zero stands for no target.
func targetHash(target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	return max(h.Sum64(), 1)
}
