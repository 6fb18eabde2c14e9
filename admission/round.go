package admission

import "time"

// round collects the load reports of one round trip. It ends when there are as many
// reports as the window allows attempts, and the last one belongs to an attempt
// sent within the round.
type round struct {
	start         time.Duration
	reports       int
	queueSum      float64 // sum of the queue per slot over the reports
	windowLimited bool    // a request waited because the window was full
}

func (r *round) addReport(queue float64) {
	r.reports++
	r.queueSum += queue
}

func (r *round) meanQueue() float64 { return r.queueSum / float64(r.reports) }
