package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// ErrHistoryGone is returned by Watch when the store no longer has the changes
// after the given revision.
var ErrHistoryGone = errors.New("the store no longer has this history")

// Listing is a set of records that is complete up to a revision.
type Listing struct {
	Records  []records.Record
	Revision uint64
}

// Source reads the store. Implementations are safe for concurrent use.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision. It waits up to wait for the
	// first one; the listing is then empty.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Reset makes the next call use a new connection.
	Reset()
}

// Decoder reads the values of records.
type Decoder interface {
	// Decode returns the configuration or the target in a record, or neither.
	Decode(key string, value []byte) (*catalog.Config, *catalog.Target, error)
}
