package poison

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Detector is what one instance knows of suspects and blocks. Times are
// since the instance's start. The notices that its methods return must reach
// the peers before the callers of the requests concerned are answered. It is
// used by one goroutine.
type Detector struct {
	options Options
	random  *rand.Rand
	book    book
	flights map[string]*flight // by target; never walked to decide
}

// NewDetector returns a detector that suspects nothing.
func NewDetector(o Options, random *rand.Rand) *Detector {
	o = o.withDefaults()
	return &Detector{options: o, random: random, flights: make(map[string]*flight),
		book: book{options: o, records: make(map[Fingerprint][]record)}}
}

// Admit says how a request may run now. until is the end of a block.
func (d *Detector) Admit(now time.Duration, f Fingerprint) (s Restriction, until time.Duration) {
	records, ok := d.book.records[f]
	if !ok {
		return Unrestricted, 0
	}
	return d.options.standing(now, records)
}

// Merge takes over notices of peers in any order, also repeatedly.
func (d *Detector) Merge(now time.Duration, notices ...Notice) {
	for _, n := range notices {
		if n.State < StateSuspect || n.State > StateCleared {
			continue
		}
		d.book.merge(now, n.Fingerprint, record{id: n.ID, state: n.State, strike: n.CrashedTarget,
			expires: now + min(n.Expires, d.options.life(n.State))})
	}
}

// Notices returns all records, for the first exchange with a new peer.
func (d *Detector) Notices(now time.Duration) []Notice {
	d.book.prune(now)
	notices := make([]Notice, 0, d.book.count)
	for _, f := range d.book.order {
		for _, r := range d.book.records[f] {
			notices = append(notices, r.notice(now, f))
		}
	}
	return notices
}

func (r record) notice(now time.Duration, f Fingerprint) Notice {
	return Notice{Fingerprint: f, ID: r.id, State: r.state, CrashedTarget: r.strike, Expires: r.expires - now}
}

// RecordCount returns the number of records.
func (d *Detector) RecordCount() int { return d.book.count }

// Tick forgets what has expired.
func (d *Detector) Tick(now time.Duration) {
	d.book.prune(now)
	for target, f := range d.flights { // each entry is treated alone, so the order does not matter
		f.forget(now - d.options.RefusedWindow)
		if len(f.attempts) == 0 && len(f.broken) == 0 {
			delete(d.flights, target)
		}
	}
}

// raise records a suspicion or block of its own and returns its notice. A
// fresh record of the same kind is told again in place of a new one.
func (d *Detector) raise(now time.Duration, f Fingerprint, s State, strike uint64) Notice {
	for _, r := range d.book.records[f] {
		if r.state == s && (strike == 0 || r.strike == strike) && r.expires-now > d.options.life(s)*9/10 {
			return r.notice(now, f)
		}
	}
	r := record{id: d.random.Uint64(), state: s, strike: strike, expires: now + d.options.life(s)}
	d.book.merge(now, f, r)
	return r.notice(now, f)
}

// renew keeps a suspect from becoming free while its trial runs.
func (d *Detector) renew(now time.Duration, f Fingerprint) []Notice {
	if s, _ := d.Admit(now+d.options.Lease, f); s != Unrestricted {
		return nil
	}
	return []Notice{d.raise(now, f, StateSuspect, 0)}
}

// clear clears all records of a fingerprint that are known here.
func (d *Detector) clear(now time.Duration, f Fingerprint) []Notice {
	var notices []Notice
	for i := range d.book.records[f] {
		r := &d.book.records[f][i]
		if r.state != StateCleared {
			r.state, r.expires = StateCleared, now+d.options.life(StateCleared)
			notices = append(notices, r.notice(now, f))
		}
	}
	return notices
}

// strikeOf returns the identifier of a target in strikes. Never zero.
func strikeOf(target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))
	return max(h.Sum64(), 1)
}
