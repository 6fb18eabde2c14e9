package poison

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Detector is what one instance knows of suspects and blocks. Times are
// since the instance's start. The notices that its methods return must reach
// the peers before the callers of the requests concerned are answered. It is
// used by one goroutine.
type Detector struct {
	options    Options
	random     *rand.Rand
	table      recordTable
	activities map[string]*targetActivity // by target; never walked to decide
}

// NewDetector returns a detector that suspects nothing.
func NewDetector(o Options, random *rand.Rand) *Detector {
	o = o.withDefaults()
	return &Detector{options: o, random: random, activities: make(map[string]*targetActivity),
		table: recordTable{options: o, records: make(map[Fingerprint][]record)}}
}

// Admit says how a request may run now. until is the end of a block.
func (d *Detector) Admit(now time.Duration, f Fingerprint) (restriction Restriction, blockedUntil time.Duration) {
	records, ok := d.table.records[f]
	if !ok {
		return Unrestricted, 0
	}
	return d.options.restriction(now, records)
}

// Merge takes over notices of peers in any order, also repeatedly.
func (d *Detector) Merge(now time.Duration, notices ...Notice) {
	for _, n := range notices {
		if n.State < StateSuspect || n.State > StateCleared {
			continue
		}
		d.table.merge(now, n.Fingerprint, record{id: n.ID, state: n.State, crashedTarget: n.CrashedTarget,
			expiresAt: now + min(n.Expires, d.options.maxLifetime(n.State))})
	}
}

// Notices returns all records, for the first exchange with a new peer.
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

func (r record) notice(now time.Duration, f Fingerprint) Notice {
	return Notice{Fingerprint: f, ID: r.id, State: r.state, CrashedTarget: r.crashedTarget, Expires: r.expiresAt - now}
}

// RecordCount returns the number of records.
func (d *Detector) RecordCount() int { return d.table.count }

// Tick forgets what has expired.
func (d *Detector) Tick(now time.Duration) {
	d.table.prune(now)
	for target, activity := range d.activities { // each entry is treated alone, so the order does not matter
		activity.pruneBroken(now - d.options.RefusedWindow)
		if len(activity.attempts) == 0 && len(activity.brokenAttempts) == 0 {
			delete(d.activities, target)
		}
	}
}

// addRecord records a suspicion or block of its own and returns its notice. A
// fresh record of the same kind is told again in place of a new one.
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

// extendSuspicion keeps a suspect from becoming free while its trial runs.
func (d *Detector) extendSuspicion(now time.Duration, f Fingerprint) []Notice {
	if s, _ := d.Admit(now+d.options.Lease, f); s != Unrestricted {
		return nil
	}
	return []Notice{d.addRecord(now, f, StateSuspect, 0)}
}

// clearRecords clears all records of a fingerprint that are known here.
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

// targetHash returns the identifier of a target in strikes. Never zero.
func targetHash(target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	return max(h.Sum64(), 1)
}
