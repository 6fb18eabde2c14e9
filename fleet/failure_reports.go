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
	// remoteReportTransmissions is how often each instance sends a failure report to other
	// failure domains. Few transmissions are enough, but they are counted apart from
	// those within the domain: otherwise the many exchanges there would use them up and
	// the report would not leave the domain.
	remoteReportTransmissions = 2
	// maxReportsPerExchange bounds the failure reports in one exchange to about a
	// kilobyte.
	maxReportsPerExchange = 32
	// reportRetention is how long a failure report is transmitted, and recognized when it
	// arrives again. It reaches a fleet of several hundred instances within three seconds.
	reportRetention = 30 * time.Second
	// maxReports bounds the failure reports that are kept. The failure of a domain
	// causes one for each request in progress there.
	maxReports = 4096
)

// failureReports holds the recent failure reports of all instances about requests that
// may crash targets. The task owns it; it is not safe for concurrent use.
type failureReports struct {
	list []*trackedReport
	keys map[reportKey]bool
}

// trackedReport is a failure report with the number of its transmissions.
type trackedReport struct {
	quarantine.FailureReport
	// sender is the peer that sent the report, to which it is not sent back. It is the
	// zero Addr for reports of this instance.
	sender netip.Addr
	// localTransmissions and remoteTransmissions count the transmissions within this
	// failure domain and to others.
	localTransmissions, remoteTransmissions int
}

// reportKey identifies a failure report. Reports with the same key count as one.
type reportKey struct {
	request   poison.Fingerprint
	target    uint64
	completed bool
}

func reportKeyOf(s quarantine.FailureReport) reportKey {
	return reportKey{s.Request, s.Target, s.Completed}
}

// add stores a failure report that sender sent, or this instance if sender is the zero
// Addr. It reports whether the report was stored: it is dropped if known or if there are
// too many.
func (s *failureReports) add(report quarantine.FailureReport, sender netip.Addr) bool {
	if s.keys[reportKeyOf(report)] || len(s.list) >= maxReports {
		return false
	}
	if s.keys == nil {
		s.keys = make(map[reportKey]bool)
	}
	s.keys[reportKeyOf(report)] = true
	s.list = append(s.list, &trackedReport{FailureReport: report, sender: sender})
	return true
}

// next returns the failure reports to send to a peer, those with the fewest transmissions
// first, and counts the transmission. members is the size of the fleet; remote is true if
// the peer is in another failure domain. Within the domain a report is transmitted as
// often as a changed member.
func (s *failureReports) next(members int, to netip.Addr, remote bool) []quarantine.FailureReport {
	count, limit := func(t *trackedReport) *int { return &t.localTransmissions }, retransmitLimit(members)
	if remote {
		count, limit = func(t *trackedReport) *int { return &t.remoteTransmissions }, remoteReportTransmissions
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

// expire removes reports that are older than reportRetention; all instances have received
// them.
func (s *failureReports) expire(now time.Duration) {
	s.list = slices.DeleteFunc(s.list, func(t *trackedReport) bool {
		if now-t.At < reportRetention {
			return false
		}
		delete(s.keys, reportKeyOf(t.FailureReport))
		return true
	})
}
