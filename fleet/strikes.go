package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

const (
	// farReportTransmissions is how often each instance tells other failure domains of a
	// strike. Few of them are needed, but they must not be used up by the many
	// exchanges within the domain: then the strike would not leave it.
	farReportTransmissions = 2
	// maxReportsPerExchange bounds the strikes in one exchange: about a kilobyte.
	maxReportsPerExchange = 32
	// reportRetention is how long a strike is told, and known again when it comes back.
	// It reaches a fleet of some hundred instances within three seconds.
	reportRetention = 30 * time.Second
	// maxReports bounds the strikes that are kept: a domain that fails gives each
	// request in progress there one.
	maxReports = 4096
)

// failureReports are what instances told lately of requests that crash targets. The
// task owns it.
type failureReports struct {
	list []*trackedReport
	keys map[reportKey]bool
}

// trackedReport counts how often a strike was passed on.
type trackedReport struct {
	quarantine.FailureReport
	// sender is the peer that told it, which need not hear it again.
	sender netip.Addr
	// near and far count the tells within the own failure domain and to others.
	near, far int
}

// reportKey identifies a strike.
type reportKey struct {
	request   poison.Fingerprint
	target    uint64
	completed bool
}

func reportKeyOf(s quarantine.FailureReport) reportKey {
	return reportKey{s.Request, s.Target, s.Completed}
}

// add notes a strike that a peer told, and reports whether it is new.
func (s *failureReports) add(report quarantine.FailureReport, from netip.Addr) bool {
	if s.keys[reportKeyOf(report)] || len(s.list) >= maxReports {
		return false
	}
	if s.keys == nil {
		s.keys = make(map[reportKey]bool)
	}
	s.keys[reportKeyOf(report)] = true
	s.list = append(s.list, &trackedReport{FailureReport: report, sender: from})
	return true
}

// next returns the strikes for one exchange of a fleet with that many members,
// the least told first, and counts them as told. Within the failure domain each
// is told as often as a changed member.
func (s *failureReports) next(members int, to netip.Addr, far bool) []quarantine.FailureReport {
	count, limit := func(t *trackedReport) *int { return &t.near }, retransmitLimit(members)
	if far {
		count, limit = func(t *trackedReport) *int { return &t.far }, farReportTransmissions
	}
	var pending []*trackedReport
	for _, t := range s.list {
		if *count(t) < limit && t.sender != to {
			pending = append(pending, t)
		}
	}
	slices.SortStableFunc(pending, func(a, b *trackedReport) int { return cmp.Compare(*count(a), *count(b)) })
	pending = pending[:min(maxReportsPerExchange, len(pending))]
	list := make([]quarantine.FailureReport, len(pending))
	for n, t := range pending {
		*count(t)++
		list[n] = t.FailureReport
	}
	return list
}

// expire drops strikes that all instances have heard of.
func (s *failureReports) expire(now time.Duration) {
	s.list = slices.DeleteFunc(s.list, func(t *trackedReport) bool {
		if now-t.At < reportRetention {
			return false
		}
		delete(s.keys, reportKeyOf(t.FailureReport))
		return true
	})
}
