package timeline

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Default capacities of the two rings, in events.
const (
	DefaultStateEvents   = 4096
	DefaultRequestEvents = 16384
)

// Options configure a Recorder.
type Options struct {
	// Instance and Incarnation are set in each event.
	Instance, Incarnation string
	// StateEvents and RequestEvents are the capacities of the rings, in events.
	// Default 4096 and 16384.
	StateEvents, RequestEvents int
	// Now returns the wall clock time. Default time.Now.
	Now func() time.Time
}

// Recorder keeps the latest events of an instance. State changes and request steps
// are kept in separate rings, so that many requests do not overwrite state changes.
// All methods are safe for concurrent use and never block.
type Recorder struct {
	options       Options
	sequence      atomic.Uint64
	stateEvents   ring
	requestEvents ring
}

// NewRecorder returns an empty recorder.
func NewRecorder(o Options) *Recorder {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Recorder{options: o, stateEvents: newRing(cmp.Or(o.StateEvents, DefaultStateEvents)),
		requestEvents: newRing(cmp.Or(o.RequestEvents, DefaultRequestEvents))}
}

// RecordState records a state change. It sets sequence, time, instance and
// incarnation.
func (r *Recorder) RecordState(e Event) { r.record(&r.stateEvents, e) }

// RecordRequest records a request step. It sets sequence, time, instance and
// incarnation.
func (r *Recorder) RecordRequest(e Event) { r.record(&r.requestEvents, e) }

func (r *Recorder) record(destination *ring, e Event) {
	e.Sequence = r.sequence.Add(1)
	e.Time = r.options.Now()
	e.Instance, e.Incarnation = r.options.Instance, r.options.Incarnation
	destination.add(&e)
}

// Lost returns the number of events that newer ones have overwritten.
func (r *Recorder) Lost() uint64 { return r.stateEvents.lost() + r.requestEvents.lost() }

// Select returns the recorded events that the filter accepts, ordered by sequence
// number.
func (r *Recorder) Select(f Filter) []Event {
	var events []Event
	for _, source := range []*ring{&r.stateEvents, &r.requestEvents} {
		for i := range source.slots {
			if e := source.slots[i].Load(); e != nil && f.Accepts(e) {
				events = append(events, *e)
			}
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return events
}

// ring is a lock-free ring buffer of the latest events. Slots are replaced
// atomically.
type ring struct {
	next  atomic.Uint64
	slots []atomic.Pointer[Event]
}

func newRing(size int) ring { return ring{slots: make([]atomic.Pointer[Event], size)} }

func (r *ring) add(e *Event) {
	r.slots[(r.next.Add(1)-1)%uint64(len(r.slots))].Store(e)
}

func (r *ring) lost() uint64 {
	if n := r.next.Load(); n > uint64(len(r.slots)) {
		return n - uint64(len(r.slots))
	}
	return 0
}
