package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultQueueLimit is the default limit of waiting requests of a pool in an
	// instance.
	DefaultQueueLimit = 1024
	// minPriorityShare is the share of the window that is assumed to be available to
	// a priority, regardless of the load of higher priorities.
	minPriorityShare = 0.02
	// waitMarginDivisor adds a quarter to the expected wait, which is a mean. Without
	// it, the waits in an overloaded queue settle where they just miss the deadlines.
	waitMarginDivisor = 4
	// lackOfCapacityPeriod is the time after a refused or shed request for which the
	// pool is considered to lack capacity.
	lackOfCapacityPeriod = time.Second
)

// Options configure a Controller.
type Options struct {
	// Rand is the source of the jitter. Required.
	Rand *rand.Rand
	// QueueLimit is the limit of waiting requests. Zero means DefaultQueueLimit.
	QueueLimit int
	// Slots is the number of slots of the pool, summed over all targets.
	Slots int
	// Instances is the largest number of instances that may be alive, or 0 if it is
	// unknown.
	Instances int
}

// Controller holds the admission state of one pool in one instance. One goroutine
// owns it.
type Controller struct {
	Window       *Window
	Queue        *Queue
	retryPacer   *RetryPacer
	serviceTimes [Lanes]*ServiceTime
	offeredLoad  offeredLoad
	// lackedCapacityAt is when the pool last lacked capacity. It is valid only when
	// everLackedCapacity is true.
	lackedCapacityAt   time.Duration
	everLackedCapacity bool
}

// NewController returns a controller with an empty queue.
func NewController(o Options) *Controller {
	if o.QueueLimit <= 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	return &Controller{Window: NewWindow(o.Slots, o.Instances), Queue: NewQueue(o.QueueLimit),
		retryPacer: NewRetryPacer(o.Rand), serviceTimes: [Lanes]*ServiceTime{NewServiceTime(), NewServiceTime()}}
}

// Offer queues an item, or refuses it with the verdict Overloaded or
// DeadlineUnreachable. longShare is the number of long requests that may be in
// flight. With the verdict Evicted the item is queued, and the item that was
// removed from the full queue is returned.
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

// CannotMeetDeadline reports whether a request sent now is expected to miss its
// deadline. The time it needs is taken as the 10th percentile of the service time
// or, when the pool lacks capacity, the 90th: then the slot is better used for a
// request that is more likely to succeed. While nothing is in flight, only a
// deadline that has passed counts, so that new service times can be learned.
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

// Finished adds the service time of a finished attempt.
func (c *Controller) Finished(now time.Duration, lane Lane, serviceTime time.Duration) {
	c.serviceTimes[lane].Add(now, serviceTime)
}

// Cancelled adds the time that a cancelled attempt held its slot, which is a lower
// bound of its service time.
func (c *Controller) Cancelled(now time.Duration, lane Lane, serviceTime time.Duration) {
	c.serviceTimes[lane].AddAtLeast(now, serviceTime)
}

// P90ServiceTime returns the 90th percentile of the service time, or 0 if unknown.
func (c *Controller) P90ServiceTime(now time.Duration, lane Lane) time.Duration {
	return c.serviceTimes[lane].P90(now)
}

// RecordShortage records that the pool lacks capacity now.
func (c *Controller) RecordShortage(now time.Duration) {
	c.lackedCapacityAt, c.everLackedCapacity = now, true
}

// HasCapacity reports whether no lack of capacity was recorded recently.
func (c *Controller) HasCapacity(now time.Duration) bool {
	return !c.everLackedCapacity || now-c.lackedCapacityAt > lackOfCapacityPeriod
}

// RetryAfter returns the time after which a caller that was refused because of
// overload should retry.
func (c *Controller) RetryAfter(now time.Duration) time.Duration {
	mean := c.serviceTimes[LaneShort].Mean(now)
	return c.retryPacer.RetryAfter(now, time.Duration(float64(mean)/c.Window.Limit()))
}

// Jitter returns a random time between half and one and a half of base.
func (c *Controller) Jitter(base time.Duration) time.Duration { return c.retryPacer.Jitter(base) }
