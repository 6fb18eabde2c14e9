package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against failure reports that are never sent because others take precedence, that
// are sent forever, or that are accepted again when they come back.
func TestFailureReportsReachTheirRetransmitLimit(t *testing.T) {
	is := is.New(t)
	const count, members = 3 * maxReportsPerExchange, 100
	reporter, peer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	var s failureReports
	for n := range count {
		is.True(s.add(quarantine.FailureReport{Target: uint64(n)}, reporter))
	}
	sent := make(map[uint64]int)
	for range 3 * retransmitLimit(members) {
		is.Equal(len(s.next(members, reporter, false)), 0) // reports are not sent back to their sender
		list := s.next(members, peer, false)
		is.True(len(list) <= maxReportsPerExchange)
		for _, report := range list {
			sent[report.Target]++
		}
	}
	is.Equal(len(sent), count)
	for _, n := range sent {
		is.Equal(n, retransmitLimit(members))
	}
	is.Equal(len(s.next(members, peer, false)), 0)
	is.Equal(len(s.next(members, peer, true)), maxReportsPerExchange) // transmissions to other domains are counted apart
	is.True(!s.add(quarantine.FailureReport{Target: 1}, reporter))
	s.expire(reportRetention - time.Millisecond)
	is.True(!s.add(quarantine.FailureReport{Target: 1}, reporter))
	s.expire(reportRetention)
	is.True(s.add(quarantine.FailureReport{Target: 1}, reporter))
}
