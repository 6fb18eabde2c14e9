package admission

import "time"

// round collects the reports of one round trip: as many answers as the window
// allows attempts, ending with the answer of an attempt sent inside the round.
type round struct {
	start         time.Duration
	reports       int
	queueSum      float64 // sum over the reports of the queue per slot
	windowLimited bool
}

func (r *round) addReport(queue float64) {
	r.reports++
	r.queueSum += queue
}

func (r *round) meanQueue() float64 { return r.queueSum / float64(r.reports) }
