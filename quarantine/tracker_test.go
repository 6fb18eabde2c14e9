package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

func fingerprint(n byte) poison.Fingerprint { return poison.Fingerprint{n} }

func content(n byte) quarantine.Identity { return quarantine.Identity{Content: fingerprint(n)} }

// Guards against a request that crashes more targets than the limit, and against
// blocking a request that did not cause the crashes.
func TestBlocked(t *testing.T) {
	crash := func(target uint64, at time.Duration) quarantine.FailureReport {
		return quarantine.FailureReport{Request: fingerprint(1), Target: target, At: at}
	}
	completed := func(at time.Duration) quarantine.FailureReport {
		return quarantine.FailureReport{Request: fingerprint(1), Target: 9, At: at, Completed: true}
	}
	for name, c := range map[string]struct {
		reports []quarantine.FailureReport
		now     time.Duration
		blocked bool
	}{
		"three targets":                     {[]quarantine.FailureReport{crash(1, 1), crash(2, 2), crash(3, 3)}, time.Second, true},
		"two targets":                       {[]quarantine.FailureReport{crash(1, 1), crash(2, 2)}, time.Second, true},
		"one target":                        {[]quarantine.FailureReport{crash(1, 1)}, time.Second, false},
		"one target often":                  {[]quarantine.FailureReport{crash(1, 1), crash(1, 2), crash(1, 3)}, time.Second, false},
		"completed between":                 {[]quarantine.FailureReport{crash(1, 1), crash(2, 2), completed(3), crash(3, 4)}, time.Second, false},
		"completed between two":             {[]quarantine.FailureReport{crash(1, 1), completed(2), crash(2, 3)}, time.Second, false},
		"completed before":                  {[]quarantine.FailureReport{completed(1), crash(1, 2), crash(2, 3), crash(3, 4)}, time.Second, true},
		"completed earlier, reported late":  {[]quarantine.FailureReport{crash(1, 2), crash(2, 3), crash(3, 4), completed(1)}, time.Second, true},
		"completion reported first":         {[]quarantine.FailureReport{completed(4), crash(1, 1), crash(2, 2), crash(3, 3)}, time.Second, false},
		"before the start of this instance": {[]quarantine.FailureReport{crash(1, -3), crash(2, -2), crash(3, -1)}, time.Second, true},
		"partly before the start":           {[]quarantine.FailureReport{crash(1, -time.Minute), crash(2, 0), crash(3, 3)}, time.Second, true},
		"completed before the start":        {[]quarantine.FailureReport{crash(1, -4), completed(-3), crash(2, -2)}, time.Second, false},
		"minutes apart":                     {[]quarantine.FailureReport{crash(1, 0), crash(2, 4*time.Minute), crash(3, 8*time.Minute)}, 12 * time.Minute, true},
		"long ago":                          {[]quarantine.FailureReport{crash(1, 1), crash(2, 2), crash(3, 3)}, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := quarantine.NewTracker()
			for _, report := range c.reports {
				tracker.Add(report)
			}
			is.Equal(tracker.BlockedFor(c.now, content(1), quarantine.CrashLimit) > 0, c.blocked)
			is.Equal(tracker.BlockedFor(c.now, content(2), 1), time.Duration(0)) // another request
		})
	}
}

// Guards against a request of many callers that is blocked for minutes because it was in progress
// on several targets that were lost together.
func TestSimultaneousFailuresBlockBriefly(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.NewTracker()
	report := quarantine.FailureReport{Request: fingerprint(1)}
	for n := range uint64(4) {
		report.Target, report.At = n, time.Duration(n)*time.Millisecond
		tracker.Add(report)
	}
	is.True(tracker.BlockedFor(time.Second, content(1), quarantine.CrashLimit) > 0)
	is.Equal(tracker.BlockedFor(15*time.Second, content(1), quarantine.CrashLimit), time.Duration(0))
	report.Target, report.At, report.AfterFailure = 9, 15*time.Second, true
	tracker.Add(report)
	is.True(tracker.BlockedFor(4*time.Minute, content(1), quarantine.CrashLimit) > 0)
}

// Guards against a request that crashes one target after another because its caller varies the
// query, and against a block of requests for a resource of which others complete.
func TestRequestsForOneResourceCountTogether(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.NewTracker()
	resource := fingerprint(200)
	other := quarantine.Identity{Content: fingerprint(100), Resource: resource}
	for n := range byte(3) {
		is.Equal(tracker.BlockedFor(time.Second, other, quarantine.CrashLimit), time.Duration(0))
		tracker.Add(quarantine.FailureReport{Request: fingerprint(n), Resource: resource, Target: uint64(n), At: time.Duration(n + 1),
			AfterFailure: n > 0})
	}
	is.True(tracker.BlockedFor(time.Minute, other, quarantine.CrashLimit) > 0)
	is.Equal(tracker.BlockedFor(time.Minute, quarantine.Identity{Content: fingerprint(100), Resource: fingerprint(201)}, 1), time.Duration(0))
	tracker.Add(quarantine.FailureReport{Request: fingerprint(100), Resource: resource, Target: 9, At: 4, Completed: true})
	is.Equal(tracker.BlockedFor(time.Minute, other, quarantine.CrashLimit), time.Duration(0))
}

// Guards against memory use that grows with each crash.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := quarantine.NewTracker()
	for i := range 10000 {
		tracker.Add(quarantine.FailureReport{Request: poison.Fingerprint{byte(i), byte(i >> 8)}, Target: 1, At: time.Duration(i + 1)})
	}
	is.Equal(tracker.Expire(0), 4096)
	is.Equal(tracker.FailedTargets(quarantine.Identity{}), 0) // the oldest was dropped
	is.Equal(tracker.Expire(time.Hour), 0)
}
