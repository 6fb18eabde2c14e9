package confsync

import (
	"fmt"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Origin is the source that a document was received from.
type Origin struct {
	// Peer is the identifier of the instance, empty for the configuration service.
	Peer string
}

// String returns "configuration service", or "instance" with the identifier.
func (o Origin) String() string {
	if o.Peer == "" {
		return "configuration service"
	}
	return "instance " + o.Peer
}

// Refusal describes a document that was not accepted because it is invalid,
// differs from its announcement, or comes from the configuration service with a
// version below the one in force. Outdated documents of peers are no refusals,
// because peers lag behind after each edit; they are only counted.
type Refusal struct {
	Origin Origin
	// Digest is the digest of the document's bytes.
	Digest string
	// Err is the reason. For an invalid document it is a *tables.Error with the
	// positions of the problems. Otherwise it states how the document differs from
	// its announcement, or the version of the document and the one in force.
	Err error
}

// Error returns the digest, the origin and the reason.
func (r Refusal) Error() string {
	return fmt.Sprintf("document %s from %s refused: %v", r.Digest, r.Origin, r.Err)
}

// Unwrap returns Err.
func (r Refusal) Unwrap() error { return r.Err }

// Conflict describes a document with the version in force but another digest.
type Conflict struct {
	Origin  Origin
	Version uint64
	// InForce is the digest of the document in force, Other that of the document
	// from Origin.
	InForce, Other string
}

// Outcome is the decision of a State on a document.
type Outcome uint8

// Outcomes.
const (
	Accepted    Outcome = iota
	Unchanged           // it is the document in force
	Outdated            // lower version; counted, and reported if it came from the service
	Conflicting         // version in force with another digest; ignored and reported
	Refused             // invalid, or different from its announcement
)

// Status is a snapshot of a Syncer for operators.
type Status struct {
	// Ready is set once the start is complete. Until then no document is applied.
	Ready bool
	// Version and Digest are those of the accepted document with the highest
	// version, 0 and "" if there is none. Once Ready is set it is in force.
	Version uint64
	Digest  string
	// Source is the origin of that document.
	Source Origin
	// LastRefusal is the last refusal that was reported, nil if there is none.
	LastRefusal *Refusal
	// Conflicts are the first 8 distinct conflicts with that document.
	Conflicts []Conflict
	// Outdated counts the offers and announcements of lower versions.
	Outdated uint64
	// Refused counts the refused documents, including repeated ones.
	Refused uint64

	document *tables.Document
}
