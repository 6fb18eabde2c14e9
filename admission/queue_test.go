package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admission"
)

// Guards against lower priorities going first, long requests delaying short ones,
// and a full queue that refuses high priority requests.
func TestQueueOrderAndEviction(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(3)
	low, normal, long := &admission.Item{Rank: 2}, &admission.Item{Rank: 1}, &admission.Item{Rank: 1, Lane: admission.LaneLong}
	for _, i := range []*admission.Item{long, low, normal} {
		is.True(q.Push(i) == nil)
	}
	high := &admission.Item{Rank: 0}
	is.True(q.Push(high) == low)
	rejected := &admission.Item{Rank: 1}
	is.True(q.Push(rejected) == rejected)
	var blocked [admission.Lanes]bool
	for _, want := range []*admission.Item{high, normal, long} {
		got := q.Next(blocked, false)
		is.True(got == want)
		q.Take(got)
	}
	is.Equal(q.Len(), 0)
}

// Guards against low priority requests that never run although there is capacity,
// and against low priority requests that take turns when there is none.
func TestLowPriorityStarvesOnlyWithoutCapacity(t *testing.T) {
	is := is.New(t)
	for _, capacity := range []bool{true, false} {
		q := admission.NewQueue(100)
		low := &admission.Item{Rank: 2}
		q.Push(low)
		for range 50 {
			q.Push(&admission.Item{})
		}
		for range 20 {
			q.Take(q.Next([admission.Lanes]bool{}, capacity))
		}
		is.Equal(low.Queued(), !capacity)
	}
}

// Guards against requests that wait until their deadline instead of being refused
// at once, and against refusing high priority requests first.
func TestLowPriorityIsRefusedFirstWhenWaitIsTooLong(t *testing.T) {
	is := is.New(t)
	c := admission.NewController(admission.Options{Rand: rand.New(rand.NewPCG(1, 1)), Slots: 4})
	for range 32 {
		c.Finished(0, admission.LaneShort, 20*time.Millisecond)
	}
	for c.Window.HasRoom() {
		c.Window.Sent()
	}
	offer := func(rank int) admission.Verdict {
		verdict, _ := c.Offer(0, &admission.Item{Rank: rank, Deadline: 100 * time.Millisecond}, 1)
		return verdict
	}
	for offer(1) == admission.Queued {
	}
	is.True(c.Queue.Len() < 50) // refused by the expected wait, not by a full queue
	is.Equal(offer(2), admission.Overloaded)
	is.Equal(offer(0), admission.Queued)
}

// Guards against refused callers that all retry at the same time.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	is := is.New(t)
	s := admission.NewRetryPacer(rand.New(rand.NewPCG(1, 1)))
	var sums [2]time.Duration
	for i := range 200 {
		sums[i/100] += s.RetryAfter(0, 5*time.Millisecond)
	}
	is.True(sums[1] > 2*sums[0])
	is.True(s.RetryAfter(0, time.Hour) <= 16*time.Second)
}
