package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// target is what this instance knows of one target.
type target struct {
	index                        int
	name, address, failureDomain string
	hash                         uint64 // of the name
	slots                        int    // from the table
	reportedSlots                int    // from the target, 0 unknown

	shortInFlight, longInFlight int // own requests in flight by class
	hashRank                    int // members with a higher hash for the target than this instance
	assignedLongSlots           int // long slots that the fleet's hash gives to this instance
	recentSends                 recentSends
	load                        loadSample
	slowness                    slowness
	health                      health
	trust                       trust
	drainSignals                drainSignals
	rampStart                   time.Duration
	cold                        bool          // the newest report says cold
	reportedAt                  time.Duration // time of the last report
	probedAt                    time.Duration // on the clock of the budget
	nextIdleProbe               time.Duration // earliest idle probe, on the clock of the budget; 0 not set yet
}

func (b *Balancer) newTarget(entry *tables.Target) *target {
	t := &target{index: b.nextIndex, name: entry.Name, address: entry.Address, hash: hashName(entry.Name),
		rampStart: b.now, reportedAt: b.now, probedAt: b.budget.clock}
	b.nextIndex++
	_, t.drainSignals.listed = b.draining[t.address]
	return t
}

// applyEntry copies the fields of the table that may change while the target stays.
func (b *Balancer) applyEntry(t *target, entry *tables.Target) {
	t.failureDomain, t.slots = entry.FailureDomain, max(1, entry.Slots)
	b.setDrainSignal(t, &t.drainSignals.inTable, entry.State == tables.StateDraining)
}

// usableSlots is the table's number of slots, or the target's own if smaller.
func (t *target) usableSlots() int {
	if t.reportedSlots > 0 {
		return min(t.slots, t.reportedSlots)
	}
	return t.slots
}

// inFlight is the number of own requests at the target.
func (t *target) inFlight() int { return t.shortInFlight + t.longInFlight }

// available reports whether the target may receive work.
func (t *target) available(now time.Duration) bool {
	return !t.drainSignals.any() && !t.health.ejected(now)
}
