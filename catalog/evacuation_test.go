package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/records"
)

// Guards against an evacuation that ends at once when its record lapses, as with a store
// that is restored from an older copy, and against one that then never ends.
func TestLapsedEvacuationEndsAfterItsGrace(t *testing.T) {
	is := is.New(t)
	b := catalog.NewBuilder()
	b.SetTarget("t", &catalog.Target{ID: "t", Service: "s", FailureDomain: "east"})
	usable := func(now time.Duration) int { return len(b.Build(now, records.Position{}).Targets["s"]) }
	b.SetEvacuated("k", "east")
	is.Equal(usable(0), 0)
	b.Remove(time.Second, "k", true)
	b.Expire(2 * time.Second)
	is.Equal(usable(2*time.Second), 0)
	b.SetEvacuated("k", "east") // written again
	b.Expire(time.Minute)
	is.Equal(usable(time.Minute), 0)
	b.Remove(time.Minute, "k", true)
	is.True(b.Expire(time.Minute + catalog.LapseGrace))
	is.Equal(usable(2*time.Minute), 1)
	b.SetEvacuated("k", "east")
	b.Remove(time.Hour, "k", false)
	is.Equal(usable(time.Hour), 1)
}
