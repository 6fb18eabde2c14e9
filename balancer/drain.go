package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// drainSignals holds the signals that a target is draining. Any one of them is
// sufficient.
type drainSignals struct {
	inTable  bool // configuration of the operators
	listed   bool // list of the platform or of a peer
	reported bool // report of the target itself
	// reportedAt is when the last report of draining arrived.
	reportedAt time.Duration
}

func (d *drainSignals) any() bool { return d.inTable || d.listed || d.reported }

// SetDraining replaces the addresses of the targets that the platform's list or
// peers report as draining.
func (b *Balancer) SetDraining(now time.Duration, addresses []string) {
	b.advance(now)
	clear(b.draining)
	for _, a := range addresses {
		b.draining[a] = struct{}{}
	}
	for _, t := range b.allTargets {
		_, listed := b.draining[t.address]
		b.setDrainSignal(t, &t.drainSignals.listed, listed)
	}
	b.enforceEjectionLimit()
}

// setDrainSignal changes one of the target's signals. A target that stops
// draining was most likely restarted, so it goes through slow start.
func (b *Balancer) setDrainSignal(t *target, signal *bool, on bool) {
	wasDraining := t.drainSignals.any()
	*signal = on
	if wasDraining && !t.drainSignals.any() {
		b.startRamp(t)
	}
}

// observeState handles the state in a report that was written after since.
// Draining is sticky: it ends only with a report that was certainly written
// after the last report of draining arrived, so late responses do not end it.
func (b *Balancer) observeState(t *target, state wire.TargetState, since time.Duration) {
	if state == wire.TargetDraining {
		b.setDrainSignal(t, &t.drainSignals.reported, true)
		t.drainSignals.reportedAt = b.now
		b.enforceEjectionLimit()
		return
	}
	if t.drainSignals.reported && since <= t.drainSignals.reportedAt {
		return
	}
	b.setDrainSignal(t, &t.drainSignals.reported, false)
	b.setCold(t, state == wire.TargetCold)
}
