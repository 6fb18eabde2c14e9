package admission

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
)

// Lane separates short from long requests in the queue.
type Lane uint8

// Lanes.
const (
	LaneShort Lane = iota
	LaneLong
	Lanes = 2
)

// Ranks is the number of priorities. Rank 0 is the highest.
const Ranks = 3

// Item is a waiting request. It is embedded in the owner's request, so that
// queueing does not allocate.
type Item struct {
	// ID identifies the request to the owner.
	ID uint64
	// Rank is the priority, from 0 (highest) to 2.
	Rank int
	// Lane is the class of the request.
	Lane Lane
	// Deadline is the time by which the response must have arrived.
	Deadline time.Duration

	arrival uint64
	link    intrusive.Element[Item]
}

// Queued reports whether the item is in a queue.
func (i *Item) Queued() bool { return i.link.Listed() }
