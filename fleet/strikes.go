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
	// farStrikeTells is how often each instance tells other failure domains of a
	// strike. Few of them are needed, but they must not be used up by the many
	// exchanges within the domain: then the strike would not leave it.
	farStrikeTells = 2
	// maxStrikesTold bounds the strikes in one exchange: about a kilobyte.
	maxStrikesTold = 32
	// strikeKept is how long a strike is told, and known again when it comes back.
	// It reaches a fleet of some hundred instances within three seconds.
	strikeKept = 30 * time.Second
	// maxStrikes bounds the strikes that are kept: a domain that fails gives each
	// request in progress there one.
	maxStrikes = 4096
)

// strikes are what instances told lately of requests that crash targets. The
// task owns it.
type strikes struct {
	list []*toldStrike
	keys map[strikeKey]bool
}

// toldStrike counts how often a strike was passed on.
type toldStrike struct {
	quarantine.FailureReport
	// from is the peer that told it, which need not hear it again.
	from netip.Addr
	// near and far count the tells within the own failure domain and to others.
	near, far int
}

// strikeKey identifies a strike.
type strikeKey struct {
	request   poison.Fingerprint
	target    uint64
	completed bool
}

func keyOf(s quarantine.FailureReport) strikeKey { return strikeKey{s.Request, s.Target, s.Completed} }

// add notes a strike that a peer told, and reports whether it is new.
func (s *strikes) add(strike quarantine.FailureReport, from netip.Addr) bool {
	if s.keys[keyOf(strike)] || len(s.list) >= maxStrikes {
		return false
	}
	if s.keys == nil {
		s.keys = make(map[strikeKey]bool)
	}
	s.keys[keyOf(strike)] = true
	s.list = append(s.list, &toldStrike{FailureReport: strike, from: from})
	return true
}

// next returns the strikes for one exchange of a fleet with that many members,
// the least told first, and counts them as told. Within the failure domain each
// is told as often as a changed member.
func (s *strikes) next(members int, to netip.Addr, far bool) []quarantine.FailureReport {
	count, enough := func(t *toldStrike) *int { return &t.near }, enoughTells(members)
	if far {
		count, enough = func(t *toldStrike) *int { return &t.far }, farStrikeTells
	}
	var due []*toldStrike
	for _, t := range s.list {
		if *count(t) < enough && t.from != to {
			due = append(due, t)
		}
	}
	slices.SortStableFunc(due, func(a, b *toldStrike) int { return cmp.Compare(*count(a), *count(b)) })
	due = due[:min(maxStrikesTold, len(due))]
	list := make([]quarantine.FailureReport, len(due))
	for n, t := range due {
		*count(t)++
		list[n] = t.FailureReport
	}
	return list
}

// forget drops strikes that all instances have heard of.
func (s *strikes) forget(now time.Duration) {
	s.list = slices.DeleteFunc(s.list, func(t *toldStrike) bool {
		if now-t.At < strikeKept {
			return false
		}
		delete(s.keys, keyOf(t.FailureReport))
		return true
	})
}
