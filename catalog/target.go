package catalog

import "time"

// Target is one incarnation of a back-end server, as it registered itself.
type Target struct {
	// ID is the identity under which the target registered. An address that
	// comes back under another ID is another target.
	ID string
	// Address is its IP address and port.
	Address string
	// FailureDomain is the zone that it runs in.
	FailureDomain string
	// Service is the name of the service that it belongs to.
	Service string
	// Version is the version of its software.
	Version string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining is true when it takes no new work.
	Draining bool
	// WarmupLeft is how much longer it runs slowly after its start, from the
	// moment of the report.
	WarmupLeft time.Duration
	// StartUnixMS is the time of its start in Unix milliseconds. Only equality counts:
	// another value under the same ID is another incarnation.
	StartUnixMS int64
	// Sequence counts the reports of this incarnation.
	Sequence int64
}

// isOlderThan reports whether t is a report that was made before other, of the
// same or of an earlier incarnation.
func (t *Target) isOlderThan(other *Target) bool {
	if t.StartUnixMS == 0 || other.StartUnixMS == 0 {
		return false
	}
	return t.StartUnixMS < other.StartUnixMS || t.StartUnixMS == other.StartUnixMS && t.Sequence < other.Sequence
}

// Incarnation identifies one start of a target.
type Incarnation struct {
	ID          string
	StartUnixMS int64
}

// Incarnation returns the identity of this start.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, StartUnixMS: t.StartUnixMS} }
