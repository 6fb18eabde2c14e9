package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// ErrHistoryGone is returned by Watch if the store no longer has all changes after the
// given revision. The caller must list all records again.
var ErrHistoryGone = errors.New("store no longer has the changes after the given revision")

// ErrTooManyChanges is returned by Watch if the changes after the given revision are too
// long to be read. The caller must list all records again: a listing has only the latest
// value of each.
var ErrTooManyChanges = errors.New("changes after the given revision are too long to be read")

// Listing is a set of records or changes of one era, complete up to Position.
type Listing struct {
	Records  []records.Record
	Position records.Position
}

// Source reads the store. Implementations are safe for concurrent use.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision. If there are none, it waits up to
	// wait for the first one, and returns an empty listing if none arrives. A restored
	// store cannot tell in which era the revision was read: the caller compares the era
	// of the listing with it.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Position returns the store's position, not an earlier one. It is cheaper than a
	// listing.
	Position(ctx context.Context) (records.Position, error)
	// Reset drops the connection, so that the next call uses a new one.
	Reset()
}

// Decoder decodes the values of records.
type Decoder interface {
	// Decode returns the content of a record, which is empty if instances do not use it.
	Decode(key string, value []byte) (catalog.Entry, error)
}
