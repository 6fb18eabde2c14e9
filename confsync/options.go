package confsync

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// DefaultStartWait is the default of Options.StartWait. A listed peer that does
// not run can delay each start by this time.
const DefaultStartWait = 2 * time.Second

// Peers gives access to the other instances. Implementations are safe for
// concurrent use.
type Peers interface {
	// ListedPeers waits for the list of instances and returns the identifiers of
	// the listed peers that are not dead.
	ListedPeers(ctx context.Context) ([]string, error)
	// QueryVersion returns the version and digest of the document that a peer has
	// in force. The version is 0 if it has none.
	QueryVersion(ctx context.Context, peer string) (version uint64, digest string, err error)
	// Content fetches the document of a version from a peer.
	Content(ctx context.Context, peer string, version uint64) ([]byte, error)
}

// Options configure a Syncer.
type Options struct {
	// Source is the configuration service. Required.
	Source configservice.Source
	// Peers are queried at the start, and called to fetch the higher versions that
	// they announce. Default: none.
	Peers Peers
	// Apply is called by the task when a document comes into force. Versions are
	// strictly increasing, but may be skipped. Required.
	Apply func(*tables.Document)
	// OnRefusal is called by the task for each refusal that does not repeat one of
	// the last 64. Default: none.
	OnRefusal func(Refusal)
	// OnConflict is called by the task for each of the first 8 distinct conflicts
	// with a document in force. Default: none.
	OnConflict func(Conflict)
	// StartWait bounds the wait for peers at the start. Default: DefaultStartWait.
	StartWait time.Duration
}
