package fleet

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodroute/dogwoodroute/peerapi"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

const (
	// remoteReportTransmissions is how often each instance sends a failure report to other
	// failure domains. Few transmissions are enough, but they are counted apart from
	// those within the domain: otherwise the many exchanges there would use them up and
	// the report would not leave the domain.
	remoteReportTransmissions = 2
	// maxReportsPerExchange bounds the failure reports that are transmitted with one
	// exchange to about two kilobytes.
	maxReportsPerExchange = 32
	// maxReportsPerSync bounds the failure reports that one message brings to an instance
	// that lacks them. The next ones follow when the digests are compared again.
	maxReportsPerSync = 256
	// reportRetention is how long a failure report is kept for instances that lack it: as
	// long as a request may be blocked because of it.
	reportRetention = quarantine.Retention
	// reportSettleTime is the age from which a report has reached all instances that were
	// there when it was made, a fleet of several hundred included. An instance that lacks
	// an older one was away. The same time before its end it is no longer compared, since
	// the clocks of two instances may differ after a pause.
	reportSettleTime = 3 * time.Second
	// syncInterval is the shortest time between two exchanges with the same peer that are
	// made only because the reports differ.
	syncInterval = time.Second
	// maxReports bounds the failure reports that are kept. The failure of a domain
	// causes one for each request in progress there.
	maxReports = 4096
)

// failureReports holds the failure reports of all instances about requests that may
// crash targets. New ones are transmitted a number of times. Since an instance may be away
// at that time, peers also compare digests of older ones and send each other what one of
// them lacks. The task owns it; it is not safe for concurrent use.
type failureReports struct {
	list []*trackedReport
	ids  map[uint64]bool
}

// trackedReport is a failure report with the number of its transmissions.
type trackedReport struct {
	quarantine.FailureReport
	id uint64
	// sender is the peer that sent the report, to which it is not sent back. It is the
	// zero Addr for reports of this instance.
	sender netip.Addr
	// localTransmissions and remoteTransmissions count the transmissions within this
	// failure domain and to others.
	localTransmissions, remoteTransmissions int
	// delivered is true once a peer has the report: it sent it, or took part in an exchange
	// that contained it.
	delivered bool
}

// contentID returns the identifier of a report by an instance that draws none: reports
// with the same content count as one.
func contentID(r quarantine.FailureReport) uint64 {
	content := binary.BigEndian.AppendUint64(r.Request[:], r.Target)
	if r.Completed {
		content = append(content, 1)
	}
	return xxhash.Sum64(content)
}

// add stores a failure report that sender sent, or this instance if sender is the zero
// Addr. It reports whether the report is new and not too old. When there are too many, the
// oldest one is dropped.
func (s *failureReports) add(now time.Duration, id uint64, report quarantine.FailureReport, sender netip.Addr) bool {
	if s.ids[id] || now-report.At >= reportRetention {
		return false
	}
	if s.ids == nil {
		s.ids = make(map[uint64]bool)
	}
	if len(s.list) >= maxReports {
		oldest := slices.MinFunc(s.list, func(a, b *trackedReport) int { return cmp.Compare(a.At, b.At) })
		s.remove(func(t *trackedReport) bool { return t == oldest })
	}
	s.ids[id] = true
	s.list = append(s.list, &trackedReport{FailureReport: report, id: id, sender: sender, delivered: sender.IsValid()})
	return true
}

// markDelivered records that a peer has received reports.
func (s *failureReports) markDelivered(sent []*peerapi.FleetStrike) {
	if len(sent) == 0 {
		return
	}
	ids := make(map[uint64]bool, len(sent))
	for _, m := range sent {
		ids[m.GetId()] = true
	}
	for _, t := range s.list {
		t.delivered = t.delivered || ids[t.id]
	}
}

// undelivered reports whether there are reports that no peer has.
func (s *failureReports) undelivered() bool {
	return slices.ContainsFunc(s.list, func(t *trackedReport) bool { return !t.delivered })
}

func (s *failureReports) remove(match func(*trackedReport) bool) {
	s.list = slices.DeleteFunc(s.list, func(t *trackedReport) bool {
		if !match(t) {
			return false
		}
		delete(s.ids, t.id)
		return true
	})
}

// next returns the failure reports to transmit to a peer, those with the fewest transmissions
// first, and counts the transmission. members is the size of the fleet; remote is true if
// the peer is in another failure domain. Within the domain a report is transmitted as
// often as a changed member.
func (s *failureReports) next(members int, to netip.Addr, remote bool) []*trackedReport {
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
	for _, t := range pending {
		*count(t)++
	}
	return pending
}

// digest returns a value that is the same on instances with the same settled reports.
func (s *failureReports) digest(now time.Duration) (digest uint64) {
	for _, t := range s.list {
		if age := now - t.At; age >= reportSettleTime && age < reportRetention-reportSettleTime {
			digest ^= t.id
		}
	}
	return digest
}

// knownIDs returns the identifiers of all reports.
func (s *failureReports) knownIDs() []uint64 {
	ids := make([]uint64, len(s.list))
	for i, t := range s.list {
		ids[i] = t.id
	}
	return ids
}

// missing returns the reports that are not among those that a peer knows: first those of
// requests with the most reports, then the latest ones, at most maxReportsPerSync.
func (s *failureReports) missing(known []uint64) []*trackedReport {
	knows := make(map[uint64]bool, len(known))
	for _, id := range known {
		knows[id] = true
	}
	counts := make(map[poison.Fingerprint]int)
	var missing []*trackedReport
	for _, t := range s.list {
		counts[t.Request]++
		if !knows[t.id] {
			missing = append(missing, t)
		}
	}
	slices.SortFunc(missing, func(a, b *trackedReport) int {
		return cmp.Or(cmp.Compare(counts[b.Request], counts[a.Request]), cmp.Compare(b.At, a.At))
	})
	return missing[:min(maxReportsPerSync, len(missing))]
}

// expire removes reports that are older than reportRetention.
func (s *failureReports) expire(now time.Duration) {
	s.remove(func(t *trackedReport) bool { return now-t.At >= reportRetention })
}
