package shortage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxServices bounds the services whose sums are kept and sent.
	MaxServices = 64
	// forgetAfter is the time without news of a service after which its sums, which have
	// faded to a thousandth, are removed.
	forgetAfter = 10 * SumsHalfLife
	// exchangedFullness is the fullness from which sums are sent to peers. Below it there
	// is no shortage. Near it instances with more room must take part, so that those with
	// less come to the mean.
	exchangedFullness = 0.65
)

// Entry is the sums of one service as of a time.
type Entry struct {
	Service string
	Sums    Sums
	At      time.Duration
}

// Ledger holds the sums of all services. The zero value is empty. One goroutine owns it.
type Ledger struct {
	entries map[string]Entry
}

// Add adds what this instance saw. No sum falls below zero.
func (l *Ledger) Add(now time.Duration, service string, seen Sums) {
	sum := l.Sums(now, service).Plus(seen)
	sum.Started = max(0, sum.Started) // seen may hold the change of RefusedAfterStart
	l.put(now, service, sum)
}

// Sums returns the sums of a service.
func (l *Ledger) Sums(now time.Duration, service string) Sums {
	e := l.entries[service]
	return e.Sums.faded(now - e.At)
}

func (l *Ledger) put(now time.Duration, service string, s Sums) {
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	e, ok := l.entries[service]
	if !ok && len(l.entries) >= MaxServices {
		maps.DeleteFunc(l.entries, func(_ string, e Entry) bool { return now-e.At >= forgetAfter })
		if len(l.entries) >= MaxServices {
			return
		}
	}
	// An earlier time, as of a report that was taken before a message was handled, would
	// let the sums fade twice.
	l.entries[service] = Entry{Service: service, Sums: s, At: max(now, e.At)}
}

// ToSend returns the sums with which to start an exchange, as of now and sorted by service:
// those of services that may be short of room.
func (l *Ledger) ToSend(now time.Duration) []Entry { return l.Answer(now, nil, true) }

// Answer returns the sums with which to answer a peer that has sent these, after Average:
// those of the same services. A peer that takes the mean of others, too, would raise the
// sums of the fleet, as this instance does not, and with them the fullness of the fullest.
// A peer that is new has no sums, so it gets those of ToSend as well.
func (l *Ledger) Answer(now time.Duration, received []Entry, isNew bool) []Entry {
	var list []Entry
	for service, e := range l.entries {
		if now-e.At >= forgetAfter {
			delete(l.entries, service)
			continue
		}
		isNamed := slices.ContainsFunc(received, func(r Entry) bool { return r.Service == service })
		if s := l.Sums(now, service); isNamed || isNew && len(s.Routes) > 1 && s.fullness() >= exchangedFullness {
			list = append(list, Entry{Service: service, Sums: s, At: now})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Average merges the sums of a peer that started an exchange: both take the mean. The
// answer to the peer is Answer after the call.
func (l *Ledger) Average(now time.Duration, received []Entry) {
	for _, e := range received {
		l.put(now, e.Service, l.Sums(now, e.Service).mean(e.Sums))
	}
}

// Adopt merges the answer of a peer to an exchange that sent these sums: the mean that the
// peer has taken, and what this instance saw since. A service that the peer has added, as
// this instance is new to it, is averaged.
func (l *Ledger) Adopt(now time.Duration, sent, answer []Entry) {
	for _, e := range answer {
		own := l.Sums(now, e.Service)
		i := slices.IndexFunc(sent, func(s Entry) bool { return s.Service == e.Service })
		if i < 0 {
			l.put(now, e.Service, own.mean(e.Sums))
			continue
		}
		l.put(now, e.Service, own.changed(sent[i].Sums.faded(now-sent[i].At), e.Sums))
	}
}

// changed returns s - before + after, without sums below zero.
func (s Sums) changed(before, after Sums) Sums {
	sum := combine(combine(before, -1, after), 1, s)
	sum.Started, sum.Refused, sum.Room, sum.Used = max(0, sum.Started), max(0, sum.Refused), max(0, sum.Room), max(0, min(sum.Used, sum.Room))
	for i := range sum.Routes {
		r := &sum.Routes[i]
		r.Requests, r.SlotTime = max(0, r.Requests), max(0, r.SlotTime)
	}
	return sum.withMaxRoutes()
}

// Entries returns all sums.
func (l *Ledger) Entries() []Entry {
	list := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e)
	}
	return list
}

// Replace replaces all sums.
func (l *Ledger) Replace(list []Entry) {
	l.entries = make(map[string]Entry, len(list))
	for _, e := range list {
		l.put(e.At, e.Service, e.Sums)
	}
}
