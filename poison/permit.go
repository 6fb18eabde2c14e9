package poison

import "time"

// Permit allows one attempt of a request on one target.
type Permit struct {
	// Trial is true if the attempt is a trial. The attempt must then be sent on a
	// new connection, must be marked with Attempt.Trial, must not be hedged, and
	// must have ended by Deadline. Task.Ended ends the trial. If the attempt is
	// not sent, Task.Abandon must be called instead.
	Trial bool
	// Deadline is the time by which a trial must have ended, since the start of
	// the instance. It is zero without a trial.
	Deadline time.Duration

	fingerprint Fingerprint
	target      string
}
