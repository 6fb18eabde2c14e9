package admission

import (
	"math"
	"time"
)

const (
	// initialWindow is the smallest initial window, in attempts. It applies while
	// the number of instances is unknown or the instance's share is smaller.
	initialWindow = 4.0
	// minWindow lets an instance try a busy pool with real requests.
	minWindow = 1.0
	// floorShare is the smallest window as a part of the instance's share of the
	// slots. Below 1, the floors of all instances together stay within the slots. At
	// 0.5, instances at their floor refuse high priority requests in a simulated load
	// peak.
	floorShare = 0.75
	// queueFloorShare is the floor for shrinking because of queues at targets, which
	// lose no requests. It exceeds the instance's share, since an instance with many
	// callers can need more than that for high priority requests alone. At 0.75 and
	// at 1, single instances refuse 17 to 160 of them in a simulated load peak.
	queueFloorShare = 1.25
	// maxWindowPerSlot limits the window to twice the slots of the pool.
	maxWindowPerSlot = 2.0
	// shedFactor is applied to the window when a target sheds an attempt,
	// queueFactor when targets report queues. Shedding reduces it more, since it
	// costs a refusal or a retry.
	shedFactor  = 0.85
	queueFactor = 0.92
	// overloadQueuePerSlot is the queue per slot, averaged over the reports of a
	// round, at which the window shrinks; below half of it the window may grow. The
	// mean is used because at 85% load most targets have a short queue by chance, so
	// that the share of reports with any queue would shrink the window without need.
	// At 0.4, p99 latency at that load exceeds its bound; 0.5 to 0.75 keep all bounds.
	overloadQueuePerSlot = 0.6
	// accelerationRounds is the number of rounds of growth after which the window
	// grows by one more attempt per round.
	accelerationRounds = 8
)

// Window limits the attempts of a pool that an instance has in flight. It grows
// additively and shrinks multiplicatively (AIMD).
type Window struct {
	limit             float64
	floor, ceiling    float64
	queueFloor        float64 // floor for shrinking because of queues
	inFlight          int
	slotFreed         bool // one attempt may be sent beyond the limit
	doubling          bool // until the window shrinks for the first time
	lastShrunk        time.Duration
	roundsSinceShrink int // rounds of growth since it shrank
	round             round
}

// NewWindow returns a window for a pool with the given number of slots and
// instances; see SetBounds.
func NewWindow(slots, instances int) *Window {
	w := &Window{doubling: true, lastShrunk: -1}
	w.SetBounds(slots, instances)
	w.limit = max(initialWindow, w.share(slots, instances))
	w.limit = min(w.limit, w.ceiling)
	return w
}

// SetBounds sets the bounds of the window from the slots of the pool, summed over
// its targets, and the largest number of instances that may be alive, or 0 if that
// is unknown. The upper bound is twice the slots and does not depend on the number
// of instances, so that one instance alone can use the whole pool.
func (w *Window) SetBounds(slots, instances int) {
	w.ceiling = max(minWindow, maxWindowPerSlot*float64(slots))
	w.floor = min(w.ceiling, max(minWindow, w.share(slots, instances)*floorShare))
	w.queueFloor = min(w.ceiling, max(minWindow, w.share(slots, instances)*queueFloorShare))
	w.limit = min(max(w.limit, w.floor), w.ceiling)
}

func (w *Window) share(slots, instances int) float64 {
	if instances <= 0 {
		return 0
	}
	return float64(slots) / float64(instances)
}

// Limit returns the size of the window in attempts.
func (w *Window) Limit() float64 { return w.limit }

// InFlight returns the number of attempts in flight.
func (w *Window) InFlight() int { return w.inFlight }

// HasRoom reports whether another attempt may be sent now.
func (w *Window) HasRoom() bool { return w.inFlight < int(w.limit) || w.slotFreed }

// HasRoomScaled reports whether another attempt may be sent if the window is
// multiplied by the factor.
func (w *Window) HasRoomScaled(factor float64) bool { return w.inFlight < int(w.limit*factor) }

// MarkLimited records that a request waits because the window is full. Without
// it the window does not grow.
func (w *Window) MarkLimited() { w.round.windowLimited = true }

// Sent counts an attempt that is sent.
func (w *Window) Sent() {
	w.slotFreed = false
	w.inFlight++
}

// Released counts the end of an attempt. When its target reported no queue, the
// slot may be used for one more attempt until EndEvent, even if the window has
// shrunk below the attempts in flight.
func (w *Window) Released(targetHasNoQueue bool) {
	w.inFlight--
	w.slotFreed = w.slotFreed || targetHasNoQueue
}

// EndEvent ends the handling of the event in which Released was called, and
// withdraws its permission to use the slot again.
func (w *Window) EndEvent() { w.slotFreed = false }

// Shed shrinks the window after a target rejected an attempt without running it.
// sent is when the attempt was sent. The window shrinks at most once per round
// trip: attempts sent before it last shrank do not reflect its current size.
func (w *Window) Shed(now, sent time.Duration) { w.shrink(now, sent, shedFactor, w.floor) }

// Report adds the load report of a target, which came with the response to an
// attempt sent at the time sent. queue is the number of requests waiting at the
// target per slot. At the end of a round the window grows, shrinks or stays.
func (w *Window) Report(now, sent time.Duration, queue float64) {
	if sent <= w.lastShrunk {
		return
	}
	w.round.addReport(queue)
	if sent < w.round.start || w.round.reports < int(math.Ceil(w.limit)) {
		return
	}
	switch queue := w.round.meanQueue(); {
	case queue >= overloadQueuePerSlot:
		w.shrink(now, sent, queueFactor, w.queueFloor)
	case queue < overloadQueuePerSlot/2 && w.round.windowLimited:
		w.grow()
	}
	w.round = round{start: now}
}

func (w *Window) shrink(now, sent time.Duration, factor, floor float64) {
	if sent <= w.lastShrunk {
		return
	}
	w.limit = max(min(w.limit, floor), w.limit*factor)
	w.lastShrunk, w.doubling, w.roundsSinceShrink = now, false, 0
	w.round = round{start: now}
}

// grow adds one attempt, or more after many rounds of growth. Until the window
// shrinks for the first time, it doubles instead. It at most doubles.
func (w *Window) grow() {
	step := 1 + float64(w.roundsSinceShrink/accelerationRounds)
	if w.doubling {
		step = w.limit
	}
	w.roundsSinceShrink++
	w.limit = min(w.ceiling, w.limit+min(step, w.limit))
}
