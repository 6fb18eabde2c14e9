package poison

// Attempt is one attempt to run a request on a target.
type Attempt struct {
	// ID is unique among the attempts of this instance.
	ID          uint64
	Fingerprint Fingerprint
	// Target is the name of the target.
	Target string
	// Trial is true if the attempt was sent with a permit for a trial.
	Trial bool
}
