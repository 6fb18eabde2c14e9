package once

import (
	"io"
	"time"
)

// MaxIssue is the maximum number of tickets that one call of Issue returns.
const MaxIssue = 64

// running is a request that was started and has not ended.
type running struct {
	fingerprint Fingerprint
	expiry      time.Duration // of the ticket
}

// Ledger keeps the state of the tickets of one incarnation. Times are since the
// start of the instance on its monotonic clock. Its methods must be called by
// one goroutine at a time.
type Ledger struct {
	options     Options
	incarnation Incarnation
	signer      *signer
	now         time.Duration // latest time passed to a method; never decreases
	usages      usageTable
	running     map[uint64]running // by serial
	responses   responseCache
}

// NewLedger returns the ledger of a new incarnation. random must be a
// cryptographically secure source; it is not used after NewLedger returns. An
// error means that random could not be read.
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

// Incarnation returns the identifier that the tickets of this ledger contain.
func (l *Ledger) Incarnation() Incarnation { return l.incarnation }

// Validity returns the time from the issue of a ticket to its expiry.
func (l *Ledger) Validity() time.Duration { return l.options.Validity }

// Issue returns the texts of new tickets. count is clamped to the range from 1 to
// MaxIssue.
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

// Parse parses and verifies the text of a ticket. The content of the ticket is
// authentic only for FaultNone and FaultExpired.
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

// Tick removes tickets and responses that are no longer needed.
func (l *Ledger) Tick(now time.Duration) { l.advance(now) }

// advance moves the clock of the ledger forward and removes tickets and responses
// whose retention has ended. The clock never goes back, so that an expired
// ticket stays expired.
func (l *Ledger) advance(now time.Duration) {
	l.now = max(l.now, now)
	l.usages.prune(l.now - l.options.Retention)
	l.responses.prune(l.now - l.options.Retention)
}
