package poison

import (
	"slices"
	"time"
)

// targetActivity holds the attempts that this instance has in flight at one target
// and the recent ones whose connections broke.
type targetActivity struct {
	attempts       []Attempt
	brokenAttempts []brokenAttempt // oldest first
}

// brokenAttempt is an attempt whose connection broke.
type brokenAttempt struct {
	fingerprint Fingerprint
	at          time.Duration
}

// maxBrokenAttempts bounds the broken attempts kept for a target.
const maxBrokenAttempts = 64

// remove removes and returns an attempt in flight. ok is false if there is none
// with the ID.
func (t *targetActivity) remove(id uint64) (a Attempt, ok bool) {
	at := slices.IndexFunc(t.attempts, func(a Attempt) bool { return a.ID == id })
	if at < 0 {
		return a, false
	}
	a = t.attempts[at]
	t.attempts = slices.Delete(t.attempts, at, at+1)
	return a, true
}

// addBroken adds a broken attempt and drops the oldest one if there are too many.
func (t *targetActivity) addBroken(b brokenAttempt) {
	if len(t.brokenAttempts) >= maxBrokenAttempts {
		t.brokenAttempts = slices.Delete(t.brokenAttempts, 0, 1)
	}
	t.brokenAttempts = append(t.brokenAttempts, b)
}

// pruneBroken drops the attempts that broke before a time.
func (t *targetActivity) pruneBroken(before time.Duration) {
	t.brokenAttempts = slices.DeleteFunc(t.brokenAttempts, func(b brokenAttempt) bool { return b.at < before })
}

// fingerprintsSince returns the distinct fingerprints of the attempts that are in
// flight or that broke at or after a time, and the number of those that broke.
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

// appendUnique appends a fingerprint unless the list contains it.
func appendUnique(list []Fingerprint, f Fingerprint) []Fingerprint {
	if slices.Contains(list, f) {
		return list
	}
	return append(list, f)
}
