package poison

import (
	"slices"
	"time"
)

// maxRecordsPerFingerprint bounds the records of one fingerprint.
const maxRecordsPerFingerprint = 64

// recordTable is a bounded table of records. All iterations follow order, so
// that they are deterministic.
type recordTable struct {
	options Options
	records map[Fingerprint][]record
	order   []Fingerprint // in the order in which their first records were added
	count   int           // number of records
}

// merge adds a record or merges it into the existing one with the same ID.
// Merging is idempotent, and the resulting states and attributed crashes do
// not depend on the order: the greatest state of an ID wins, and of equal
// states the one that expires first. changed reports whether the record is new
// or has got another state or crashed target.
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

// mergeCopy merges another copy of the same record into r.
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

// dropLowestRank removes the oldest of the records with the lowest retention
// rank.
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

// maxRank is the largest value of retentionRank.
const maxRank = 3

// retentionRank returns how important it is to keep a record: clearings are
// dropped first, then suspicions without an attributed crash, then suspicions
// with one, and blocks last.
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

// evict frees a sixteenth of the table, so that the cost of the iteration is
// spread over many additions. It drops records with a low retention rank
// first, and among equals those of the oldest fingerprints.
func (t *recordTable) evict() {
	limit := t.options.MaxRecords - t.options.MaxRecords/16
	for rank := 0; rank <= maxRank && t.count > limit; rank++ {
		t.dropIf(func(r record) bool { return t.count > limit && retentionRank(r) == rank })
	}
}

// dropIf removes the records for which remove returns true.
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

// prune removes the records that are no longer needed.
func (t *recordTable) prune(now time.Duration) {
	t.dropIf(func(r record) bool { return t.options.forgetAt(r) <= now })
}
