package entry

import "sync/atomic"

// drainState is the phase of a planned stop.
type drainState int32

const (
	drainServing drainState = iota
	drainLeaving            // serves, and asks callers to use another instance
	drainStopped            // refuses
)

// Drain is the shutdown state of a Server. The zero value serves. It is safe
// for concurrent use.
type Drain struct {
	state    atomic.Int32
	inFlight atomic.Int64
}

// Leave asks callers to use another instance: answers carry "Connection:
// close". Requests are still served.
func (d *Drain) Leave() { d.state.CompareAndSwap(int32(drainServing), int32(drainLeaving)) }

// Leaving reports whether Leave or End was called.
func (d *Drain) Leaving() bool { return drainState(d.state.Load()) >= drainLeaving }

// End refuses requests from now on and returns the number in flight.
func (d *Drain) End() int64 {
	d.state.Store(int32(drainStopped))
	return d.inFlight.Load()
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int64 { return d.inFlight.Load() }

// begin counts a request in flight. It returns false after End.
func (d *Drain) begin() bool {
	d.inFlight.Add(1)
	if drainState(d.state.Load()) == drainStopped {
		d.inFlight.Add(-1)
		return false
	}
	return true
}

func (d *Drain) end() { d.inFlight.Add(-1) }
