package poison

import (
	"slices"
	"time"
)

// maxRecordsPerFingerprint bounds the records of one fingerprint.
const maxRecordsPerFingerprint = 64

// recordTable is the bounded table of records. order makes every walk deterministic.
type recordTable struct {
	options Options
	records map[Fingerprint][]record
	order   []Fingerprint // in the order of the first record
	count   int
}

// merge takes over a record. Merging is idempotent, and the states and strikes
// do not depend on the order: the greatest state of an ID wins, and for equal
// states the earlier end. changed is false when nothing new was learned.
func (t *recordTable) merge(now time.Duration, f Fingerprint, r record) (changed bool) {
	r.expiresAt = min(r.expiresAt, now+t.options.maxLifetime(r.state))
	if t.options.forgetAt(r) <= now {
		return false
	}
	existing, found := t.records[f]
	if at := slices.IndexFunc(existing, func(k record) bool { return k.id == r.id }); at >= 0 {
		return existing[at].mergeCopy(r)
	}
	if len(existing) >= maxRecordsPerFingerprint {
		existing = t.dropLowestRank(existing)
	}
	t.records[f] = append(existing, r)
	t.count++
	if !found {
		t.order = append(t.order, f)
	}
	if t.count > t.options.MaxRecords {
		t.evict()
	}
	return true
}

// mergeCopy takes over another copy of the same record.
func (r *record) mergeCopy(other record) (changed bool) {
	changed = other.state > r.state || r.crashedTarget == 0 && other.crashedTarget != 0
	switch {
	case other.state > r.state:
		r.state, r.expiresAt = other.state, other.expiresAt
	case other.state == r.state:
		r.expiresAt = min(r.expiresAt, other.expiresAt)
	}
	r.crashedTarget = max(r.crashedTarget, other.crashedTarget)
	return changed
}

// dropLowestRank removes the record with the least value: a clearing if there is
// one, then a suspicion, the oldest first.
func (t *recordTable) dropLowestRank(existing []record) []record {
	least := 0
	for i, r := range existing {
		if retentionRank(r) < retentionRank(existing[least]) {
			least = i
		}
	}
	t.count--
	return slices.Delete(existing, least, least+1)
}

// maxRank is the largest value of keep.
const maxRank = 3

// retentionRank ranks a record by the harm of losing it.
func retentionRank(r record) int {
	switch {
	case r.state == StateCleared:
		return 0
	case r.state == StateSuspect && r.crashedTarget == 0:
		return 1
	case r.state == StateSuspect:
		return 2
	default:
		return maxRank
	}
}

// evict makes room for a sixteenth of the table, so that its walk is paid for
// by many additions. Records of the lowest rank go first, then the oldest.
func (t *recordTable) evict() {
	limit := t.options.MaxRecords - t.options.MaxRecords/16
	for rank := 0; rank <= maxRank && t.count > limit; rank++ {
		t.dropIf(func(r record) bool { return t.count > limit && retentionRank(r) == rank })
	}
}

// dropIf removes the records for which the function returns true.
func (t *recordTable) dropIf(remove func(record) bool) {
	t.order = slices.DeleteFunc(t.order, func(f Fingerprint) bool {
		kept := slices.DeleteFunc(t.records[f], func(r record) bool {
			removed := remove(r)
			if removed {
				t.count--
			}
			return removed
		})
		if t.records[f] = kept; len(kept) > 0 {
			return false
		}
		delete(t.records, f)
		return true
	})
}

// prune forgets what has expired.
func (t *recordTable) prune(now time.Duration) {
	t.dropIf(func(r record) bool { return t.options.forgetAt(r) <= now })
}
