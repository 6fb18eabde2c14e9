package poison

import (
	"slices"
	"time"
)

// targetActivity is what runs at one target, as far as this instance sent it there.
type targetActivity struct {
	attempts       []Attempt
	brokenAttempts []brokenAttempt // recent breaks, oldest first
}

// brokenAttempt is an attempt whose connection broke.
type brokenAttempt struct {
	fingerprint Fingerprint
	at          time.Duration
}

// maxBrokenAttempts bounds the breaks remembered for a target.
const maxBrokenAttempts = 64

// remove takes an attempt out. ok is false for an unknown one.
func (t *targetActivity) remove(id uint64) (a Attempt, ok bool) {
	at := slices.IndexFunc(t.attempts, func(a Attempt) bool { return a.ID == id })
	if at < 0 {
		return a, false
	}
	a = t.attempts[at]
	t.attempts = slices.Delete(t.attempts, at, at+1)
	return a, true
}

// addBroken remembers a break.
func (t *targetActivity) addBroken(b brokenAttempt) {
	if len(t.brokenAttempts) >= maxBrokenAttempts {
		t.brokenAttempts = slices.Delete(t.brokenAttempts, 0, 1)
	}
	t.brokenAttempts = append(t.brokenAttempts, b)
}

// pruneBroken drops the breaks before a time.
func (t *targetActivity) pruneBroken(before time.Duration) {
	t.brokenAttempts = slices.DeleteFunc(t.brokenAttempts, func(b brokenAttempt) bool { return b.at < before })
}

// fingerprintsSince returns the distinct fingerprints in flight or broken at or after a
// time, and the number of breaks among them.
func (t *targetActivity) fingerprintsSince(from time.Duration) (fingerprints []Fingerprint, breaks int) {
	for _, b := range t.brokenAttempts {
		if b.at >= from {
			breaks++
			fingerprints = appendUnique(fingerprints, b.fingerprint)
		}
	}
	for _, a := range t.attempts {
		fingerprints = appendUnique(fingerprints, a.Fingerprint)
	}
	return fingerprints, breaks
}

func appendUnique(list []Fingerprint, f Fingerprint) []Fingerprint {
	if slices.Contains(list, f) {
		return list
	}
	return append(list, f)
}
