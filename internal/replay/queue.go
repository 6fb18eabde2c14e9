package replay

import (
	"container/heap"
	"time"
)

// eventQueue runs events in order of virtual time. Events at the same time run
// in the order in which they were added.
type eventQueue struct {
	now    time.Duration
	next   uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// after schedules run at d from the current virtual time.
func (t *eventQueue) after(d time.Duration, run func()) {
	t.next++
	heap.Push(&t.events, event{at: t.now + d, seq: t.next, fn: run})
}

// step advances the virtual time to the next event and runs it. It returns false
// if there is none.
func (t *eventQueue) step() bool {
	if len(t.events) == 0 {
		return false
	}
	e := heap.Pop(&t.events).(event)
	t.now = e.at
	e.fn()
	return true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
