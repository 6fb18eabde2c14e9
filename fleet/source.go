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

// Listing is a set of records or changes that is complete up to Revision.
type Listing struct {
	Records  []records.Record
	Revision uint64
	// Era counts how often the store was restored from an older copy. It is 0 if the
	// store does not say.
	Era uint64
}

// Source reads the store. Implementations are safe for concurrent use.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision. If there are none, it waits up to
	// wait for the first one, and returns an empty listing if none arrives.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Reset drops the connection, so that the next call uses a new one.
	Reset()
}

// Decoder decodes the values of records.
type Decoder interface {
	// Decode returns the configuration or the target that a record contains. Both are
	// nil if it contains neither.
	Decode(key string, value []byte) (*catalog.Config, *catalog.Target, error)
}
