package catalog

import (
	"cmp"
	"time"
)

// Target is one incarnation of a back-end server, as it registered itself.
type Target struct {
	// ID is the identity under which the target registered. A server that registers
	// the same address under another ID is another target.
	ID string
	// Address is the IP address and port.
	Address string
	// FailureDomain is the zone in which the target runs.
	FailureDomain string
	// Service is the name of the target's service.
	Service string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target can run at a time.
	Slots int
	// Draining is true when the target accepts no new requests.
	Draining bool
	// WarmupLeft is how long after the registration the target still runs slowly
	// because it has just started.
	WarmupLeft time.Duration
	// StartUnixMS is the target's start time in Unix milliseconds, or 0 if unknown.
	// Another value under the same ID is another incarnation, and a lower one an
	// earlier incarnation.
	StartUnixMS int64
	// Sequence counts the registrations of this incarnation.
	Sequence int64
}

// compareRegistration returns -1, 0 or 1 if t was registered before, with or after other,
// by the same or by another incarnation. It returns 1 when one of the start times is
// unknown: a restarted target must not be taken for its predecessor.
func (t *Target) compareRegistration(other *Target) int {
	if t.StartUnixMS == 0 || other.StartUnixMS == 0 {
		return 1
	}
	return cmp.Or(cmp.Compare(t.StartUnixMS, other.StartUnixMS), cmp.Compare(t.Sequence, other.Sequence))
}

// Incarnation identifies a target between one start and the next.
type Incarnation struct {
	ID          string
	StartUnixMS int64
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, StartUnixMS: t.StartUnixMS} }
