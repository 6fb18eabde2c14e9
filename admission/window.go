package admission

import (
	"math"
	"time"
)

const (
	// initialWindow is the window before the fleet is known, in attempts.
	initialWindow = 4.0
	// minWindow lets an instance probe a busy pool with real requests.
	minWindow = 1.0
	// floorShare is the part of the instance's share of the slots that the
	// window never goes below, so that all floors together stay within the
	// slots. With 0.5, instances at their floor refused high priority requests
	// in a simulated load spike; with 0.75 none of them did.
	floorShare = 0.75
	// queueFloorShare is the same for shrinking because of queues, which lose no
	// requests: an instance with many callers needs more than its share for
	// high priority work alone. With 0.75 and 1, single instances refused 17 to
	// 160 high priority requests in a load spike, with 1.25 none did.
	queueFloorShare = 1.25
	// maxWindowPerSlot bounds the window to twice the slots of the pool.
	maxWindowPerSlot = 2.0
	// shedFactor is applied when a target sheds, queueFactor when targets
	// report queues. A shed costs a refusal or a retry and weighs more.
	shedFactor  = 0.85
	queueFactor = 0.92
	// overloadQueuePerSlot is the queue per slot, as the mean of a round's reports, at
	// which the window shrinks; below half of it the window may grow. The share
	// of reports with any queue was the signal before: at 85% load most targets
	// have a short queue by chance, so that the window held requests back. With
	// 0.4, p99 at 85% load stayed above its bound; 0.5 to 0.75 kept all bounds.
	overloadQueuePerSlot = 0.6
	// accelerationRounds is the number of rounds without shrinking after which the
	// growth per round goes up by another attempt.
	accelerationRounds = 8
)

// Window bounds the outstanding attempts of one pool in one instance. It grows
// additively and shrinks multiplicatively. Its unit is attempts in flight.
type Window struct {
	limit             float64
	floor, ceiling    float64
	queueFloor        float64 // for shrinking because of queues
	inFlight          int
	slotFreed         bool
	doubling          bool // until the window shrinks for the first time
	lastShrunk        time.Duration
	roundsSinceShrink int // rounds since it shrank
	round             round
}

// NewWindow returns a window for a pool; see SetBounds.
func NewWindow(slots, instances int) *Window {
	w := &Window{doubling: true, lastShrunk: -1}
	w.SetBounds(slots, instances)
	w.limit = max(initialWindow, w.share(slots, instances))
	w.limit = min(w.limit, w.ceiling)
	return w
}

// SetBounds sets the slots of the pool over all targets and the largest number
// of instances that may be alive; zero instances: unknown. The ceiling lets one
// instance alone use all slots twice over.
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

// Limit returns the window in attempts.
func (w *Window) Limit() float64 { return w.limit }

// InFlight returns the outstanding attempts.
func (w *Window) InFlight() int { return w.inFlight }

// HasRoom reports whether another attempt may be sent now.
func (w *Window) HasRoom() bool { return w.inFlight < int(w.limit) || w.slotFreed }

// HasRoomScaled reports whether another attempt may be sent when the window is
// taken to be larger by the given factor.
func (w *Window) HasRoomScaled(factor float64) bool { return w.inFlight < int(w.limit*factor) }

// MarkLimited notes that a request waits because the window is full.
func (w *Window) MarkLimited() { w.round.windowLimited = true }

// Sent counts an attempt.
func (w *Window) Sent() {
	w.slotFreed = false
	w.inFlight++
}

// Released counts the end of an attempt. free says that its target reported no
// queue: the slot may then be used again, once, in the same event, also when
// the window has shrunk below the attempts in flight.
func (w *Window) Released(targetHasNoQueue bool) {
	w.inFlight--
	w.slotFreed = w.slotFreed || targetHasNoQueue
}

// EndEvent takes back the permission that Released gave.
func (w *Window) EndEvent() { w.slotFreed = false }

// Shed takes an answer that says the target did not run the attempt. sent is
// when the attempt was sent. The window shrinks at most once per round trip:
// attempts sent before it last shrank say nothing about its present size.
func (w *Window) Shed(now, sent time.Duration) { w.shrink(now, sent, shedFactor, w.floor) }

// Report takes a target's report; queue is the number of requests that wait at
// the target, per slot.
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

// grow adds one attempt per round, more after many calm rounds, and doubles
// the window at the start.
func (w *Window) grow() {
	step := 1 + float64(w.roundsSinceShrink/accelerationRounds)
	if w.doubling {
		step = w.limit
	}
	w.roundsSinceShrink++
	w.limit = min(w.ceiling, w.limit+min(step, w.limit))
}
