package confsync

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Bounds of the state.
const (
	maxRefused   = 64 // remembered refusals
	maxConflicts = 8  // remembered conflicts with the document in force
)

// Announcement is a peer's announcement of the configuration it has in force.
type Announcement struct {
	Peer    string
	Version uint64
	Digest  string
}

// State holds the document with the highest valid version received and decides
// on further documents. The zero value is an empty state. It is not safe for
// concurrent use.
type State struct {
	document         *tables.Document
	source           Origin
	conflicts        []Conflict
	reportedRefusals []refusalKey // refused documents that were reported, oldest first
	lastRefusal      *Refusal
	outdated         uint64
	refusalCount     uint64

	// OnRefusal and OnConflict are called for each refusal that does not repeat one
	// of the last 64, and for each of the first 8 distinct conflicts with the
	// document in force. Optional.
	OnRefusal  func(Refusal)
	OnConflict func(Conflict)
}

// refusalKey identifies a refused document or a false announcement. An invalid
// document has no peer in its key, as it is invalid whoever sends it. The key of
// a false announcement includes the peer, so that other peers can still supply
// the document. The key of an outdated document differs from both, as it is not
// invalid.
type refusalKey struct {
	digest, peer string
	outdated     bool
}

// Offer decides on a document and accepts it if it is valid and has a higher
// version than the one in force. announced is the announcement that the document
// was fetched for, nil for a document of the configuration service.
func (s *State) Offer(origin Origin, data []byte, announced *Announcement) Outcome {
	digest := digestOf(data)
	if s.document != nil && s.document.Digest() == digest {
		return Unchanged
	}
	if announced != nil && announced.Digest != digest {
		return s.refuse(refusalKey{digest: announced.Digest, peer: origin.Peer}, Refusal{Origin: origin, Digest: digest,
			Err: errors.Errorf("version %d was announced with digest %s", announced.Version, announced.Digest)})
	}
	if key := (refusalKey{digest: digest}); slices.Contains(s.reportedRefusals, key) {
		s.refusalCount++
		return Refused
	}
	document, err := tables.Parse(data)
	if err != nil {
		return s.refuse(refusalKey{digest: digest}, Refusal{Origin: origin, Digest: digest, Err: err})
	}
	if announced != nil && announced.Version != document.Version {
		return s.refuse(refusalKey{digest: digest, peer: origin.Peer}, Refusal{Origin: origin, Digest: digest,
			Err: errors.Errorf("version %d was announced, the document has %d", announced.Version, document.Version)})
	}
	return s.acceptIfNewer(origin, document)
}

// acceptIfNewer accepts a valid document if its version is higher than the one in
// force. A lower version is outdated, the same version a conflict.
func (s *State) acceptIfNewer(origin Origin, document *tables.Document) Outcome {
	switch version := s.Version(); {
	case document.Version < version:
		s.outdated++
		if origin.Peer == "" { // peers are expected to lag behind
			s.reportRefusal(refusalKey{digest: document.Digest(), outdated: true}, Refusal{Origin: origin, Digest: document.Digest(),
				Err: errors.Errorf("version %d is lower than version %d (digest %s) in force", document.Version, version, s.document.Digest())})
		}
		return Outdated
	case document.Version == version:
		s.reportConflict(Conflict{Origin: origin, Version: version, InForce: s.document.Digest(), Other: document.Digest()})
		return Conflicting
	}
	s.document, s.source, s.conflicts = document, origin, nil
	return Accepted
}

// ShouldFetch reports whether the announced document should be fetched: its
// version is higher than the one in force and it was not refused before. It
// counts outdated announcements and reports conflicting ones.
func (s *State) ShouldFetch(a Announcement) bool {
	version := s.Version()
	switch {
	case a.Version < version:
		s.outdated++
		return false
	case a.Version == version:
		if s.document != nil && a.Digest != s.document.Digest() {
			s.reportConflict(Conflict{Origin: Origin{Peer: a.Peer}, Version: version, InForce: s.document.Digest(), Other: a.Digest})
		}
		return false
	}
	return !slices.Contains(s.reportedRefusals, refusalKey{digest: a.Digest}) &&
		!slices.Contains(s.reportedRefusals, refusalKey{digest: a.Digest, peer: a.Peer})
}

// Version returns the version of the accepted document, 0 if there is none.
func (s *State) Version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version
}

// refuse counts a refusal and reports it if it is not a repetition.
func (s *State) refuse(key refusalKey, r Refusal) Outcome {
	s.refusalCount++
	s.reportRefusal(key, r)
	return Refused
}

// reportRefusal reports a refusal unless its key is among the last 64 reported.
func (s *State) reportRefusal(key refusalKey, r Refusal) {
	if slices.Contains(s.reportedRefusals, key) {
		return
	}
	s.reportedRefusals = append(s.reportedRefusals, key)
	if len(s.reportedRefusals) > maxRefused {
		s.reportedRefusals = s.reportedRefusals[1:]
	}
	s.lastRefusal = &r
	if s.OnRefusal != nil {
		s.OnRefusal(r)
	}
}

// reportConflict reports and remembers a conflict unless its digest is known or
// the limit is reached.
func (s *State) reportConflict(c Conflict) {
	known := slices.ContainsFunc(s.conflicts, func(o Conflict) bool { return o.Other == c.Other })
	if known || len(s.conflicts) >= maxConflicts {
		return
	}
	s.conflicts = append(s.conflicts, c)
	if s.OnConflict != nil {
		s.OnConflict(c)
	}
}

// Status returns a snapshot.
func (s *State) Status() *Status {
	status := &Status{Version: s.Version(), Source: s.source, LastRefusal: s.lastRefusal,
		Conflicts: slices.Clone(s.conflicts), Outdated: s.outdated, Refused: s.refusalCount, document: s.document}
	if s.document != nil {
		status.Digest = s.document.Digest()
	}
	return status
}

// digestOf returns the same digest as Document.Digest, also for documents that
// cannot be parsed.
func digestOf(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
