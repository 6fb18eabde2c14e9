package admin

import "time"

// Configuration describes the configuration document in force.
type Configuration struct {
	// Version is 0 until the first document is in force.
	Version uint64 `json:"version"`
	// Digest is the hexadecimal hash of the document.
	Digest string `json:"digest"`
	// Source says where the document came from: "service" or "peer ID".
	Source string `json:"source"`
	// InForceSince is the time at which the document took effect, on this
	// instance's wall clock.
	InForceSince time.Time `json:"in_force_since"`
	// LastRefused is the document that was refused last, if any.
	LastRefused *RefusedDocument `json:"last_refused,omitempty"`
	// Conflicts lists different documents that have the version in force, at most 8.
	Conflicts []Conflict `json:"conflicts,omitempty"`
}
