package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against strikes that are never told since others go first, told without
// end, or told again when they come back.
func TestEachStrikeIsToldOftenEnough(t *testing.T) {
	is := is.New(t)
	const count, members = 3 * maxReportsPerExchange, 100
	teller, peer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	var s failureReports
	for n := range count {
		is.True(s.add(quarantine.FailureReport{Target: uint64(n)}, teller))
	}
	told := make(map[uint64]int)
	for range 3 * retransmitLimit(members) {
		is.Equal(len(s.next(members, teller, false)), 0) // it knows them
		list := s.next(members, peer, false)
		is.True(len(list) <= maxReportsPerExchange)
		for _, strike := range list {
			told[strike.Target]++
		}
	}
	is.Equal(len(told), count)
	for _, n := range told {
		is.Equal(n, retransmitLimit(members))
	}
	is.Equal(len(s.next(members, peer, false)), 0)
	is.Equal(len(s.next(members, peer, true)), maxReportsPerExchange) // other domains are still told
	is.True(!s.add(quarantine.FailureReport{Target: 1}, teller))
	s.expire(reportRetention - time.Millisecond)
	is.True(!s.add(quarantine.FailureReport{Target: 1}, teller))
	s.expire(reportRetention)
	is.True(s.add(quarantine.FailureReport{Target: 1}, teller))
}
