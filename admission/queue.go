package admission

import "github.com/dogwoodroute/dogwoodroute/internal/intrusive"

// agingInterval is the number of grants of which one goes to the lowest waiting
// priority while there is capacity.
const agingInterval = 16

// Queue holds the waiting requests of a pool: three priorities, first in first
// out inside each. Inside a priority the short lane goes first, so that short
// work does not wait behind long work.
type Queue struct {
	limit    int
	length   int
	arrivals uint64
	grants   int
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

// PushFront puts an item that was taken out back to the front of its priority,
// beyond the limit if need be.
func (q *Queue) PushFront(i *Item) {
	i.link.Value = i
	q.lists[i.Rank][i.Lane].PushFront(&i.link)
	q.length++
}

// Remove takes an item out. An item that is not queued is left alone.
func (q *Queue) Remove(i *Item) {
	if i.link.Listed() {
		i.link.Unlink()
		q.length--
	}
}

// Next returns the item whose turn it is, without taking it out. Lanes marked
// as blocked are passed over. With capacity, one turn in 16 belongs to the
// lowest waiting priority.
func (q *Queue) Next(blocked [Lanes]bool, capacity bool) *Item {
	if capacity && q.grants%agingInterval == agingInterval-1 {
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

// Take removes the item that Next returned and passes the turn on.
func (q *Queue) Take(i *Item) {
	q.Remove(i)
	q.grants++
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

// evictionCandidate returns the newest item of the lowest priority.
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
