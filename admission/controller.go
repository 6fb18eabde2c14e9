package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultQueueLimit bounds the waiting requests of a pool in an instance.
	DefaultQueueLimit = 1024
	// minPriorityShare is the share of the window that a priority counts on at
	// least, whatever arrives above it.
	minPriorityShare = 0.02
	// waitMarginDivisor adds a quarter to the expected wait, which is a mean. Without
	// it, under overload the queue settles at waits that just miss deadlines.
	waitMarginDivisor = 4
	// lackOfCapacityPeriod is the time for which a refusal or a shed answer counts as
	// lack of capacity.
	lackOfCapacityPeriod = time.Second
)

// Options configure a Controller.
type Options struct {
	// Rand is the source of the jitter. Required.
	Rand *rand.Rand
	// QueueLimit bounds the waiting requests. Default 1024.
	QueueLimit int
	// Slots is the number of slots of the pool over all targets.
	Slots int
	// Instances is the largest number of instances that may be alive. Zero: unknown.
	Instances int
}

// Controller is the admission state of one pool in one instance.
type Controller struct {
	Window       *Window
	Queue        *Queue
	retryPacer   *RetryPacer
	serviceTimes [Lanes]*ServiceTime
	offeredLoad  offeredLoad
	// lackedCapacityAt is when the pool last lacked capacity. Valid when everShort.
	lackedCapacityAt   time.Duration
	everLackedCapacity bool
}

// NewController returns a controller without requests.
func NewController(o Options) *Controller {
	if o.QueueLimit <= 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	return &Controller{Window: NewWindow(o.Slots, o.Instances), Queue: NewQueue(o.QueueLimit),
		retryPacer: NewRetryPacer(o.Rand), serviceTimes: [Lanes]*ServiceTime{NewServiceTime(), NewServiceTime()}}
}

// Offer queues an item, or says why not. longShare is the number of long
// requests that may be in flight. A verdict of Evicted comes with the item
// that lost its place to the new one.
func (c *Controller) Offer(now time.Duration, i *Item, longShare int) (Verdict, *Item) {
	if c.CannotMeetDeadline(now, i) {
		return DeadlineUnreachable, nil
	}
	wait := c.ExpectedWait(now, i, longShare)
	if wait > 0 && now+wait+wait/waitMarginDivisor+c.serviceTimes[i.Lane].P90(now) > i.Deadline {
		c.RecordShortage(now)
		return Overloaded, nil
	}
	evicted := c.Queue.Push(i)
	if evicted == i {
		c.RecordShortage(now)
		return Overloaded, nil
	}
	c.offeredLoad.add(now, i.Rank, c.serviceTimes[i.Lane].Mean(now))
	if evicted != nil {
		c.RecordShortage(now)
		return Evicted, evicted
	}
	return Queued, nil
}

// CannotMeetDeadline reports whether a request sent now would miss its deadline: with
// capacity to spare, when hardly any run is that short; without, when the slot
// would serve another request with more certainty. While nothing is in flight
// there is nothing to learn from, so only a deadline that has passed counts.
func (c *Controller) CannotMeetDeadline(now time.Duration, i *Item) bool {
	if now >= i.Deadline {
		return true
	}
	need := c.serviceTimes[i.Lane].P10(now)
	if !c.HasCapacity(now) {
		need = c.serviceTimes[i.Lane].P90(now)
	}
	return c.Window.InFlight() > 0 && now+need > i.Deadline
}

// Finished takes the time that an attempt held its slot.
func (c *Controller) Finished(now time.Duration, lane Lane, serviceTime time.Duration) {
	c.serviceTimes[lane].Add(now, serviceTime)
}

// Cancelled takes the time that a cancelled attempt had held its slot.
func (c *Controller) Cancelled(now time.Duration, lane Lane, serviceTime time.Duration) {
	c.serviceTimes[lane].AddAtLeast(now, serviceTime)
}

// P90ServiceTime returns the time that nine of ten requests hold a slot at most, or 0
// when unknown.
func (c *Controller) P90ServiceTime(now time.Duration, lane Lane) time.Duration {
	return c.serviceTimes[lane].P90(now)
}

// RecordShortage notes a lack of capacity.
func (c *Controller) RecordShortage(now time.Duration) {
	c.lackedCapacityAt, c.everLackedCapacity = now, true
}

// HasCapacity reports whether no request was refused or shed lately.
func (c *Controller) HasCapacity(now time.Duration) bool {
	return !c.everLackedCapacity || now-c.lackedCapacityAt > lackOfCapacityPeriod
}

// RetryAfter advises a caller that was refused for overload.
func (c *Controller) RetryAfter(now time.Duration) time.Duration {
	mean := c.serviceTimes[LaneShort].Mean(now)
	return c.retryPacer.RetryAfter(now, time.Duration(float64(mean)/c.Window.Limit()))
}

// Jitter returns a time from half to one and a half of base.
func (c *Controller) Jitter(base time.Duration) time.Duration { return c.retryPacer.Jitter(base) }
