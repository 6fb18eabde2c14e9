package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against seeds that send all records to every instance that starts, also to those
// of other failure domains, and against an instance that is referred without end or to
// nobody.
func TestInstancesWithoutRecordsAreReferredOnce(t *testing.T) {
	is := is.New(t)
	var f fullLists
	member := func(n byte) Member { return Member{IP: netip.AddrFrom4([4]byte{10, 0, 0, n}), Incarnation: 1} }
	is.True(!f.refer(0, member(1), false, minSources-1)) // no others to refer to
	is.True(f.refer(0, member(2), false, minSources))
	is.True(!f.refer(0, member(2), false, minSources)) // again
	restarted := member(2)
	restarted.Incarnation++
	is.True(f.refer(0, restarted, false, minSources))
	lists := 0
	for n := range byte(40) {
		if !f.refer(3*time.Second, member(100+n), true, minSources) {
			lists++
		}
	}
	is.Equal(lists, fullListsPerSecond)
}
