package confsync

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/tables"
)

func document(version int, reason string) []byte {
	return fmt.Appendf(nil, `{"version": %d, "routes": [], "pools": [{"name": "p", "closed": %q,
		"targets": [{"name": "t", "address": "10.0.0.1:80", "failure_domain": "a", "slots": 4}]}]}`, version, reason)
}

// Guards against a version that decreases, or a content that changes under the
// same version, for any order of documents and announcements from any origin.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		highest, digests := uint64(0), make(map[uint64]string)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := rapid.IntRange(0, 6).Draw(t, "version") // 0 is invalid
			data := document(version, rapid.SampledFrom([]string{"", "x", "\n"}).Draw(t, "content"))
			origin := Origin{Peer: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "origin")}
			var announced *Announcement
			if origin.Peer != "" {
				announced = &Announcement{Peer: origin.Peer, Version: uint64(version), Digest: digestOf(data)}
				if rapid.IntRange(0, 4).Draw(t, "false announcement") == 0 {
					announced.Version++
				}
				s.ShouldFetch(*announced)
			}
			before := s.Version()
			outcome := s.Offer(origin, data, announced)
			if s.Version() < before || (s.Version() != before) != (outcome == Accepted) {
				t.Fatalf("version %d after version %d with outcome %d", s.Version(), before, outcome)
			}
			if outcome == Accepted {
				highest, digests[s.Version()] = max(highest, s.Version()), s.Status().Digest
			}
			if highest > 0 && (s.Version() != highest || s.Status().Digest != digests[highest]) {
				t.Fatalf("version %d has changed its content", highest)
			}
		}
	})
}

// Guards against a refusal that does not state the problem, that is reported
// again with each read, or that prevents fetching a document from another peer.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	var reported []Refusal
	s := State{OnRefusal: func(r Refusal) { reported = append(reported, r) }}
	wrong := document(0, "")
	for range 3 {
		is.Equal(s.Offer(Origin{}, wrong, nil), Refused)
	}
	is.Equal(len(reported), 1)
	var positions *tables.Error
	is.True(errors.As(reported[0], &positions))
	is.True(positions.Problems[0].Line > 0)
	is.Equal(s.Status().Refused, uint64(3))
	is.True(!s.ShouldFetch(Announcement{Peer: "a", Version: 9, Digest: digestOf(wrong)})) // not fetched again

	good := document(2, "")
	truthful := Announcement{Peer: "a", Version: 2, Digest: digestOf(good)}
	is.Equal(s.Offer(Origin{Peer: "a"}, document(2, "x"), &truthful), Refused) // digest differs from the announcement
	is.True(!s.ShouldFetch(truthful))
	truthful.Peer = "b"
	is.True(s.ShouldFetch(truthful))
	is.Equal(s.Offer(Origin{Peer: "b"}, good, &truthful), Accepted)
	is.Equal(s.Offer(Origin{}, document(1, ""), nil), Outdated)
	is.Equal(s.Status().Outdated, uint64(1))
}
