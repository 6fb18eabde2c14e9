package entry

import (
	"github.com/dogwoodroute/dogwoodroute/dispatch"
	"github.com/dogwoodroute/dogwoodroute/routing"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// View is an immutable snapshot of the current configuration, as far as the
// request path needs it.
type View struct {
	Document *tables.Document
	Matcher  *routing.Matcher
	// Pools holds the dispatch task of each pool, by name.
	Pools map[string]*dispatch.Task
	// Limiters holds the rate limiters. Nil: there are no limits.
	Limiters Limiters
}
