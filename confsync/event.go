package confsync

import (
	"fmt"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Origin says where a document came from.
type Origin struct {
	// Peer is the identifier of the instance, empty for the configuration service.
	Peer string
}

// String names the origin.
func (o Origin) String() string {
	if o.Peer == "" {
		return "configuration service"
	}
	return "instance " + o.Peer
}

// Refusal is a document that was not accepted because it is wrong, or because
// the configuration service gave a version below the one in force. Lower
// versions of peers are only counted: peers lag behind during each edit.
type Refusal struct {
	Origin Origin
	// Digest is the digest of the document's bytes.
	Digest string
	// Err is a *tables.Error with positions for an invalid document, or says how
	// the document differs from what its peer announced or names the versions.
	Err error
}

// Error names the origin and the digest.
func (r Refusal) Error() string {
	return fmt.Sprintf("document %s from %s refused: %v", r.Digest, r.Origin, r.Err)
}

// Unwrap returns the cause.
func (r Refusal) Unwrap() error { return r.Err }

// Conflict is a second document with the version in force.
type Conflict struct {
	Origin  Origin
	Version uint64
	// InForce and Other are the digests of the two documents.
	InForce, Other string
}

// Outcome is what a State made of a document.
type Outcome uint8

// Outcomes.
const (
	Accepted    Outcome = iota
	Unchanged           // the document in force
	Outdated            // counted, and reported when it came from the service
	Conflicting         // the version in force with another digest; ignored
	Refused             // invalid, or not what was announced
)

// Status is a snapshot for operators.
type Status struct {
	// Ready is set once the start is over; before, nothing is in force.
	Ready bool
	// Version and Digest are those of the document in force, 0 and "" without one.
	Version uint64
	Digest  string
	// Source is where the document in force came from.
	Source Origin
	// LastRefusal is the last distinct refusal, nil without one.
	LastRefusal *Refusal
	// Conflicts are the distinct conflicts with the version in force, at most 8.
	Conflicts []Conflict
	// Outdated counts offers and announcements of lower versions.
	Outdated uint64
	// Refused counts refused documents, repeated ones included.
	Refused uint64

	document *tables.Document
}
