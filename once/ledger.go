package once

import (
	"io"
	"time"
)

// MaxIssue is the largest number of tickets of one Issue.
const MaxIssue = 64

// running is a request that was started and has not finished.
type running struct {
	fingerprint Fingerprint
	expiry      time.Duration
}

// Ledger is the state of the tickets of one incarnation. Times are since the
// instance's start on its monotonic clock. It is used by one goroutine.
type Ledger struct {
	options     Options
	incarnation Incarnation
	signer      *signer
	now         time.Duration // latest time seen; never goes back
	usages      usageTable
	running     map[uint64]running
	responses   responseCache
}

// NewLedger returns the ledger of a new incarnation. random must be a source of
// cryptographic quality; it is read here only.
func NewLedger(o Options, random io.Reader) (*Ledger, error) {
	incarnation := o.Incarnation
	if incarnation == (Incarnation{}) {
		var err error
		if incarnation, err = NewIncarnation(random); err != nil {
			return nil, err
		}
	}
	signer, err := newSigner(random)
	if err != nil {
		return nil, err
	}
	return &Ledger{options: o.withDefaults(), incarnation: incarnation, signer: signer,
		running: make(map[uint64]running), responses: responseCache{bySerial: make(map[uint64]storedResponse)}}, nil
}

// Incarnation returns the identifier in the ledger's tickets.
func (l *Ledger) Incarnation() Incarnation { return l.incarnation }

// Validity returns the time from a ticket's issue to its expiry.
func (l *Ledger) Validity() time.Duration { return l.options.Validity }

// Issue returns new tickets. count is clamped to 1 to MaxIssue.
func (l *Ledger) Issue(now time.Duration, count int) []string {
	l.advance(now)
	expiry := (l.now + l.options.Validity).Truncate(time.Millisecond)
	tickets := make([]string, min(max(count, 1), MaxIssue))
	for i := range tickets {
		ticket := Ticket{Incarnation: l.incarnation, Serial: l.usages.issue(expiry), Expiry: expiry}
		ticket.mac = l.signer.sign(ticket)
		tickets[i] = ticket.String()
	}
	return tickets
}

// Parse reads a ticket's text. The content is genuine only for FaultNone and
// FaultExpired.
func (l *Ledger) Parse(now time.Duration, text string) (Ticket, Fault) {
	l.advance(now)
	ticket, ok := Decode(text)
	switch {
	case !ok:
		return ticket, FaultMalformed
	case ticket.Incarnation != l.incarnation:
		return ticket, FaultForeign
	case !l.signer.valid(ticket):
		return ticket, FaultForged
	case l.now >= ticket.Expiry:
		return ticket, FaultExpired
	default:
		return ticket, FaultNone
	}
}

// Tick forgets what is no longer needed.
func (l *Ledger) Tick(now time.Duration) { l.advance(now) }

// advance takes over the time and forgets expired tickets. The time never goes
// back, so that an expired ticket stays expired.
func (l *Ledger) advance(now time.Duration) {
	l.now = max(l.now, now)
	l.usages.prune(l.now - l.options.Retention)
	l.responses.prune(l.now - l.options.Retention)
}
