package poison

import "time"

// Permit allows one attempt of a request at one target.
type Permit struct {
	// Trial is set when the attempt is a trial. It must then be sent on a new
	// connection, must be marked with Attempt.Trial, must not be hedged, and
	// must have ended at Until. Ended ends the trial; Abandon does when the
	// attempt is not sent.
	Trial bool
	// Deadline is on the clock of the instance. Set for a trial.
	Deadline time.Duration

	fingerprint Fingerprint
	target      string
}
