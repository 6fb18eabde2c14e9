package bench

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/replay"
)

// serviceFactor lengthens service times, which lowers the rates for the same
// share of the slots. Unscaled, instituto needs about 3,900 calls/s and the
// crest 24,800, in one process with 18 instances, the callers and the targets.
const serviceFactor = 10

// Deadlines of short requests. They are not scaled by serviceFactor, so that the
// crest, whose length is not scaled either, still has to refuse.
const (
	deadline      = 5 * time.Second
	crestDeadline = 2 * time.Second
)

// loopbackDelay stands for the network in the replay. The live run has none but
// loopback, whatever the failure domains.
const loopbackDelay = 100 * time.Microsecond

// defaultLength of the arrivals of most scenarios.
const defaultLength = 12 * time.Second

// scaleForLiveRun turns a workload of package replay into one for a live run.
func scaleForLiveRun(w replay.Workload) replay.Workload {
	w.MeanService *= serviceFactor
	w.LongService = min(w.LongService*serviceFactor, maxLongService)
	w.LocalDelay, w.RemoteDelay = loopbackDelay, loopbackDelay
	w.Deadline, w.Duration, w.Faults = deadline, defaultLength, nil
	return w
}

// maxLongService keeps long requests short beside defaultLength.
const maxLongService = 2 * time.Second
