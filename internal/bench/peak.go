package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// goodput returns the share of all slot time in a period of the run that went to
// requests of the main pool which were completed in time, within the period. The
// period is since the start of the arrivals. Service times are those of the first
// attempt, so hedged requests are not counted twice.
func goodput(calls []load.Call, t *replay.Trace, period [2]time.Duration) float64 {
	if len(calls) == 0 {
		return 0
	}
	var work time.Duration
	for i := range calls {
		c := &calls[i]
		if c.Stream != 0 || !c.OK() {
			continue
		}
		a := &t.Arrivals[c.Arrival]
		start := c.Scheduled.Add(-time.Duration(a.At) * time.Microsecond)
		if end := c.End.Sub(start); end >= period[0] && end < period[1] {
			work += time.Duration(a.Service) * time.Microsecond
		}
	}
	slots := 0
	for _, target := range t.Pool.Targets {
		slots += target.Slots
	}
	return float64(work) / float64(time.Duration(slots)*(period[1]-period[0]))
}
