package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// target is the state of one target as seen by this instance.
type target struct {
	index                        int
	name, address, failureDomain string
	hash                         uint64 // of the name
	slots                        int    // configured
	reportedSlots                int    // reported by the target; 0 means unknown

	shortInFlight, longInFlight int // requests of this instance by class
	hashRank                    int // number of members with a higher hash for the target
	assignedLongSlots           int // long slots assigned to this instance; see assignLongSlots
	recentSends                 recentSends
	load                        loadSample
	slowness                    slowness
	health                      health
	trust                       trust
	drainSignals                drainSignals
	rampStart                   time.Duration
	cold                        bool          // the latest report says cold
	reportedAt                  time.Duration // when the last report arrived
	probedAt                    time.Duration // last probe, on the budget's clock
	nextIdleProbe               time.Duration // on the budget's clock; 0 means not scheduled
}

func (b *Balancer) newTarget(entry *tables.Target) *target {
	t := &target{index: b.nextIndex, name: entry.Name, address: entry.Address, hash: hashName(entry.Name),
		rampStart: b.now, reportedAt: b.now, probedAt: b.budget.clock}
	b.nextIndex++
	_, t.drainSignals.listed = b.draining[t.address]
	return t
}

// applyEntry copies the configuration that may change while the target stays.
func (b *Balancer) applyEntry(t *target, entry *tables.Target) {
	t.failureDomain, t.slots = entry.FailureDomain, max(1, entry.Slots)
	b.setDrainSignal(t, &t.drainSignals.inTable, entry.State == tables.StateDraining)
}

// usableSlots returns the configured number of slots, or the reported number if
// that is smaller.
func (t *target) usableSlots() int {
	if t.reportedSlots > 0 {
		return min(t.slots, t.reportedSlots)
	}
	return t.slots
}

// inFlight returns the number of requests of this instance in flight at the
// target.
func (t *target) inFlight() int { return t.shortInFlight + t.longInFlight }

// available reports whether the target may receive requests: it is neither
// draining nor ejected.
func (t *target) available(now time.Duration) bool {
	return !t.drainSignals.any() && !t.health.ejected(now)
}
