package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
	"github.com/dogwoodroute/dogwoodroute/node"
	"github.com/dogwoodroute/dogwoodroute/platform/platformtest"
)

// meetingTime is the time in which instances must find each other once their settings name
// running seeds. It covers the look at the settings file every two seconds many times.
const meetingTime = 10 * time.Second

// staleSeeds kills all instances and starts those again that are no seeds. Their settings
// name seeds that are down, and running ones only after a while.
func (f *fleet) staleSeeds(ctx context.Context, r *rand.Rand) {
	if !f.seedsLock.TryLock() {
		return // the last event of this kind goes on
	}
	defer f.seedsLock.Unlock()
	var rest []*instance
	for _, i := range f.instances {
		i.signal(syscall.SIGKILL)
		if !slices.Contains(f.seeds, i.settings.Addresses.Peers) {
			rest = append(rest, i)
		}
	}
	for _, i := range f.instances {
		i.waitOrKill(time.Second)
	}
	for _, i := range rest {
		f.start(i)
	}
	if len(rest) > 1 {
		backoff.Sleep(ctx, time.Second+randomBelow(r, 2*time.Second))
		running := []string{rest[0].settings.Addresses.Peers, rest[1].settings.Addresses.Peers}
		for _, i := range rest {
			i.changeSettings(func(s *node.Settings) { s.Seeds = running })
			if r.IntN(2) == 0 {
				i.signal(syscall.SIGHUP)
			}
		}
		f.awaitMeeting(ctx, rest)
	}
	for _, i := range f.instances {
		i.changeSettings(func(s *node.Settings) { s.Seeds = f.seeds })
	}
	f.startAll()
}

// awaitMeeting waits until each of the instances knows all others, and records a violation
// if that takes too long although none of them was disturbed.
func (f *fleet) awaitMeeting(ctx context.Context, rest []*instance) {
	for from := f.now(); ctx.Err() == nil; backoff.Sleep(ctx, 100*time.Millisecond) {
		missing := f.missingFrom(ctx, rest)
		if missing == "" {
			return
		}
		for _, i := range rest {
			if !f.undisturbedSince(i, from) {
				from = f.now() // another event stops or pauses it
			}
		}
		if f.now() > from+meetingTime {
			rest[0].addViolation("instances find each other through changed seeds: " + missing)
			return
		}
	}
}

// missingFrom returns a description of the first instance that does not list another one.
func (f *fleet) missingFrom(ctx context.Context, rest []*instance) string {
	for _, i := range rest {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		list, err := platformtest.Resolve(ctx, f.client, i.settings.Addresses.Resolve, host, "elsewhere")
		cancel()
		if err != nil {
			return fmt.Sprintf("%s lists none: %v", i.settings.ID, err)
		}
		for _, other := range rest {
			if !slices.Contains(list, other.settings.Addresses.Callers) {
				return fmt.Sprintf("%s lists %s, not %s", i.settings.ID, strings.Join(list, " "), other.settings.ID)
			}
		}
	}
	return ""
}

// undisturbedSince reports whether an instance was neither started nor got a signal since a
// time.
func (f *fleet) undisturbedSince(i *instance, from time.Duration) bool {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	return f.recorder.evidence().undisturbedBetween(i.settings.ID, from, f.now())
}
