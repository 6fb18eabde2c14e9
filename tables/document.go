package tables

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// MaxDocumentBytes is the maximum size of a document in the configuration service.
const MaxDocumentBytes = 1 << 20

// Document is one version of the two tables.
type Document struct {
	// Version is the version number that the operators assign, at least 1. Each
	// document must have a higher version than the one that it replaces.
	Version uint64 `json:"version"`
	// Routes are matched in the order of decreasing length of their path prefixes.
	Routes []Route `json:"routes"`
	// Pools are the pools of targets. Routes refer to them by name.
	Pools []Pool `json:"pools"`

	digest string
	source []byte
}

// Digest returns a 64-bit hash of the source of the document, in hexadecimal.
func (d *Document) Digest() string { return d.digest }

// Source returns the text that the document was parsed from. It must not be
// modified.
func (d *Document) Source() []byte { return d.source }

// Pool returns the pool with the given name.
func (d *Document) Pool(name string) (*Pool, bool) {
	for i := range d.Pools {
		if d.Pools[i].Name == name {
			return &d.Pools[i], true
		}
	}
	return nil, false
}

func digestOf(source []byte) string {
	h := xxhash.New()
	_, _ = h.Write(source) // never fails
	return hex.EncodeToString(h.Sum(nil))
}
