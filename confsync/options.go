package confsync

import (
	"context"
	"time"

	"github.com/dogwoodroute/dogwoodroute/configservice"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// DefaultStartWait bounds the wait for peers at a start. Peers that are listed
// but do not run any more cost this much at each start.
const DefaultStartWait = 2 * time.Second

// Peers are the other instances. Methods are called by several goroutines.
type Peers interface {
	// ListedPeers waits for the list of instances and returns the live listed peers.
	ListedPeers(ctx context.Context) ([]string, error)
	// QueryVersion returns the version and digest that a peer has in force, 0 for none.
	QueryVersion(ctx context.Context, peer string) (version uint64, digest string, err error)
	// Content returns the peer's document of a version.
	Content(ctx context.Context, peer string, version uint64) ([]byte, error)
}

// Options configure a Syncer.
type Options struct {
	// Source is the configuration service. Required.
	Source configservice.Source
	// Peers are asked at a start and for higher versions. Default none.
	Peers Peers
	// Apply is called with each newly accepted document, in order, by the task.
	// Required.
	Apply func(*tables.Document)
	// OnRefusal is called by the task once for each distinct refused document.
	// Default none.
	OnRefusal func(Refusal)
	// OnConflict is called by the task once for each distinct conflict with the
	// version in force. Default none.
	OnConflict func(Conflict)
	// StartWait bounds the wait for peers at a start. Default 2 s.
	StartWait time.Duration
}
