package confsync

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

// Bounds of what is remembered.
const (
	maxRefused   = 64
	maxConflicts = 8
)

// Announcement is a configuration that a peer says it has in force.
type Announcement struct {
	Peer    string
	Version uint64
	Digest  string
}

// State is the configuration with the highest valid version seen. It is not
// safe for concurrent use.
type State struct {
	document         *tables.Document
	source           Origin
	conflicts        []Conflict
	reportedRefusals []refusalKey // refused documents that were reported, oldest first
	lastRefusal      *Refusal
	outdated         uint64
	refusalCount     uint64

	// OnRefusal and OnConflict are called once for each distinct event. Optional.
	OnRefusal  func(Refusal)
	OnConflict func(Conflict)
}

// refusalKey identifies a refused document or a broken announcement. An invalid
// document is the same whoever sends it; a broken announcement is its peer's. A
// lower version has a key of its own, as it is counted apart.
type refusalKey struct {
	digest, peer string
	outdated     bool
}

// Offer takes a document. announced is what the peer said of it, nil for the
// configuration service.
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

// acceptIfNewer compares a valid document with the one in force.
func (s *State) acceptIfNewer(origin Origin, document *tables.Document) Outcome {
	switch version := s.Version(); {
	case document.Version < version:
		s.outdated++
		if origin.Peer == "" { // peers that lag are normal
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

// ShouldFetch reports whether the announced document should be fetched.
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

// Version returns the highest valid version seen, 0 without one.
func (s *State) Version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version
}

// refuse counts a refusal and reports it the first time.
func (s *State) refuse(key refusalKey, r Refusal) Outcome {
	s.refusalCount++
	s.reportRefusal(key, r)
	return Refused
}

// reportRefusal tells of a refusal once for each key.
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

// reportConflict reports a distinct reportConflict.
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

// digestOf equals Document.Digest for documents that cannot be parsed, too.
func digestOf(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
