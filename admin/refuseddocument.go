package admin

import "time"

// RefusedDocument describes a configuration document that was refused.
type RefusedDocument struct {
	// Version is 0 if the version is unknown.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Source says where the document came from: "service" or "peer ID".
	Source string `json:"source"`
	// At is the time of the refusal on this instance's wall clock, zero if unknown.
	At       time.Time `json:"at"`
	Problems []Problem `json:"problems"`
}
