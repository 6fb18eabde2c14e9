package admission

import "github.com/dogwoodroute/dogwoodroute/internal/intrusive"

// agingInterval is the number of turns of which one goes to the lowest waiting
// priority while there is capacity, so that it does not starve.
const agingInterval = 16

// Queue holds the waiting requests of a pool in three priorities. Within a
// priority, the short lane goes before the long one, so that short requests do not
// wait for long ones. Each lane is first in, first out.
type Queue struct {
	limit    int
	length   int
	arrivals uint64
	turns    int
	lists    [Ranks][Lanes]intrusive.List[Item]
}

// NewQueue returns an empty queue that holds at most limit items.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.length }

// LenOf returns the number of items of a priority.
func (q *Queue) LenOf(rank int) int {
	return q.lists[rank][LaneShort].Len() + q.lists[rank][LaneLong].Len()
}

// Push appends an item. When the queue is full, the newest item of the lowest
// priority is evicted and returned if it ranks below the new one; otherwise
// the new item itself is returned and is not queued.
func (q *Queue) Push(i *Item) (evicted *Item) {
	if q.length >= q.limit {
		evicted = q.evictionCandidate()
		if evicted == nil || evicted.Rank <= i.Rank {
			return i
		}
		q.Remove(evicted)
	}
	q.arrivals++
	i.arrival = q.arrivals
	i.link.Value = i
	q.lists[i.Rank][i.Lane].Push(&i.link)
	q.length++
	return evicted
}

// PushFront puts an item that was taken out back at the front of its priority and
// lane, even if the queue is full.
func (q *Queue) PushFront(i *Item) {
	i.link.Value = i
	q.lists[i.Rank][i.Lane].PushFront(&i.link)
	q.length++
}

// Remove removes an item. It does nothing if the item is not queued.
func (q *Queue) Remove(i *Item) {
	if i.link.Listed() {
		i.link.Unlink()
		q.length--
	}
}

// Next returns the item that is next, without removing it, or nil if there is none.
// Lanes marked as blocked are skipped. If the pool has capacity, one turn in 16
// goes to the lowest waiting priority.
func (q *Queue) Next(blocked [Lanes]bool, capacity bool) *Item {
	if capacity && q.turns%agingInterval == agingInterval-1 {
		for rank := Ranks - 1; rank >= 0; rank-- {
			if i := q.first(rank, blocked); i != nil {
				return i
			}
		}
	}
	for rank := range Ranks {
		if i := q.first(rank, blocked); i != nil {
			return i
		}
	}
	return nil
}

// Take removes an item that was returned by Next, and counts the turn.
func (q *Queue) Take(i *Item) {
	q.Remove(i)
	q.turns++
}

// Any returns an item of the queue, or nil when it is empty.
func (q *Queue) Any() *Item { return q.Next([Lanes]bool{}, false) }

func (q *Queue) first(rank int, blocked [Lanes]bool) *Item {
	for lane := range q.lists[rank] {
		if head := q.lists[rank][lane].Head(); head != nil && !blocked[lane] {
			return head
		}
	}
	return nil
}

// evictionCandidate returns the newest item of the lowest waiting priority, or nil
// when the queue is empty.
func (q *Queue) evictionCandidate() *Item {
	for rank := Ranks - 1; rank >= 0; rank-- {
		short, long := q.lists[rank][LaneShort].Tail(), q.lists[rank][LaneLong].Tail()
		switch {
		case short == nil && long == nil:
		case short == nil || (long != nil && long.arrival > short.arrival):
			return long
		default:
			return short
		}
	}
	return nil
}
