package placement

import (
	"math"
	"time"
)

const (
	// startRateHalfLife is the half-life of the rate at which requests start.
	startRateHalfLife = time.Second
	// minWaiting is the number of requests of a service that may always wait. With
	// few requests the rate at which they start is not known.
	minWaiting = 2
)

// waitQueue counts the requests of a service that wait in this instance for room
// at the targets, and the rate at which requests start there.
type waitQueue struct {
	waiting map[int]int // by rank
	// starts counts the requests sent to targets.
	starts decayingCount
}

// started records that a request is sent to a target.
func (q *waitQueue) started(now time.Duration) {
	q.starts.add(now, 1)
}

// rate returns the number of requests that start per second.
func (q *waitQueue) rate(now time.Duration) float64 {
	return q.starts.recent(now) * math.Ln2 / startRateHalfLife.Seconds()
}

// ahead returns the number of waiting requests with a rank of at most maxRank.
func (q *waitQueue) ahead(maxRank int) int {
	n := 0
	for rank, waiting := range q.waiting {
		if rank <= maxRank {
			n += waiting
		}
	}
	return n
}

// StartWaiting reports whether a request that found no room may wait for it, and
// counts it as waiting if so; StopWaiting must be called then. A request may not
// wait if those that wait already take all the room that is expected within its
// maximum wait. While its service is short of room, those of less urgent ranks do not
// count: they are the ones to be refused.
func (p *Placer) StartWaiting(now time.Duration, r *Request) bool {
	q := p.queue(r.Service)
	left := r.Arrived + p.MaxWait(r) - now
	counted := math.MaxInt
	if p.Cutoff(now, r.Service).Level > 0 {
		counted = r.Route.Rank
	}
	if n := q.ahead(counted); n >= minWaiting && float64(n+1) > q.rate(now)*left.Seconds() {
		return false
	}
	q.waiting[r.Route.Rank]++
	return true
}

// StopWaiting records that a request no longer waits for room.
func (p *Placer) StopWaiting(r *Request) { p.queue(r.Service).waiting[r.Route.Rank]-- }

func (p *Placer) queue(service string) *waitQueue {
	q := p.queues[service]
	if q == nil {
		q = &waitQueue{waiting: make(map[int]int), starts: decayingCount{halfLife: startRateHalfLife}}
		p.queues[service] = q
	}
	return q
}
