package balancer

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/wire"
)

// drainSignals holds the signals that a target is leaving. Any one of them suffices.
type drainSignals struct {
	inTable  bool // the operators' table
	listed   bool // the platform's list or a peer
	reported bool // the target's own report
	// reportedAt is when the last report of draining arrived.
	reportedAt time.Duration
}

func (d *drainSignals) any() bool { return d.inTable || d.listed || d.reported }

// SetDraining replaces the addresses of the targets that the platform's list
// or peers say are leaving.
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

// setDrainSignal changes one signal. A target that serves again was most likely
// restarted, so it starts slowly.
func (b *Balancer) setDrainSignal(t *target, signal *bool, on bool) {
	wasDraining := t.drainSignals.any()
	*signal = on
	if wasDraining && !t.drainSignals.any() {
		b.startRamp(t)
	}
}

// observeState takes the state on a report that was written after the time
// since. Draining is sticky: only a report that was certainly written after
// the last report of draining arrived ends it. Late answers do not.
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
