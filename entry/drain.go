package entry

import (
	"sync/atomic"
	"time"
)

// drainState is the phase of a graceful shutdown.
type drainState int32

const (
	drainServing drainState = iota
	drainLeaving            // serves requests with "Connection: close"
	drainStopped            // refuses requests
)

// Drain is the shutdown state of a Server and counts its requests in flight. The
// zero value accepts requests. It is safe for concurrent use.
type Drain struct {
	state    atomic.Int32
	end      atomic.Int64 // argument of Leave; valid once the state is drainLeaving
	inFlight atomic.Int64
}

// Leave makes callers move to other instances: responses carry "Connection:
// close". Requests are still served, except those whose deadline is after end, the
// time on the clock of Options.Now at which requests in flight are aborted.
func (d *Drain) Leave(end time.Duration) {
	d.end.CompareAndSwap(0, int64(end))
	d.state.CompareAndSwap(int32(drainServing), int32(drainLeaving))
}

// mayOutlive reports whether a request with this deadline may still be in flight when
// the instance that is leaving ends.
func (d *Drain) mayOutlive(deadline time.Duration) bool {
	return d.Leaving() && deadline > time.Duration(d.end.Load())
}

// Leaving reports whether Leave or End was called.
func (d *Drain) Leaving() bool { return drainState(d.state.Load()) >= drainLeaving }

// End makes the server refuse new requests and returns the number of requests in
// flight.
func (d *Drain) End() int64 {
	d.state.Store(int32(drainStopped))
	return d.inFlight.Load()
}

// InFlight returns the number of requests that have begun and not yet ended.
func (d *Drain) InFlight() int64 { return d.inFlight.Load() }

// begin counts a request as in flight, to be ended with done. After End it returns
// false and counts nothing.
func (d *Drain) begin() bool {
	d.inFlight.Add(1)
	if drainState(d.state.Load()) == drainStopped {
		d.inFlight.Add(-1)
		return false
	}
	return true
}

func (d *Drain) done() { d.inFlight.Add(-1) }
