package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// serviceFactor multiplies service times, which lowers the rates for the same
// share of the slots. Unscaled, instituto needs about 3,900 calls/s and the load
// peak of crest 24,800, in one process with 18 instances, callers and targets.
const serviceFactor = 10

// Deadlines of short requests. They are not scaled by serviceFactor: the load
// peak of crest is not either, and requests must still be refused in it.
const (
	deadline      = 5 * time.Second
	crestDeadline = 2 * time.Second
)

// loopbackDelay is the network delay of the replay, within and between failure
// domains, because the live run uses loopback for both.
const loopbackDelay = 100 * time.Microsecond

// defaultDuration is the duration of the arrivals of all scenarios but crest.
const defaultDuration = 12 * time.Second

// scaleForLiveRun adapts a workload of package replay to a live run.
func scaleForLiveRun(w replay.Workload) replay.Workload {
	w.MeanService *= serviceFactor
	w.LongService = min(w.LongService*serviceFactor, maxLongService)
	w.LocalDelay, w.RemoteDelay = loopbackDelay, loopbackDelay
	w.Deadline, w.Duration, w.Faults = deadline, defaultDuration, nil
	return w
}

// maxLongService limits the scaled mean service time of long requests, which
// must be short compared with defaultDuration.
const maxLongService = 2 * time.Second
