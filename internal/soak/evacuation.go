package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/backoff"
)

// evacuationLimit is the longest time from the write of an evacuation until no target of
// the failure domain receives a request.
const evacuationLimit = 5 * time.Second

// evacuation is a time in which the store held the evacuation of a failure domain.
type evacuation struct {
	domain   string
	from, to time.Duration
}

// evacuate evacuates a failure domain for a while. One is evacuated at a time, so that
// targets remain.
func (f *fleet) evacuate(ctx context.Context, r *rand.Rand) {
	f.evacuationLock.Lock()
	defer f.evacuationLock.Unlock()
	domain := domains[r.IntN(len(domains))]
	f.evacuated.Store(&domain)
	f.store.Evacuate(domain, true)
	e := evacuation{domain: domain, from: f.now()}
	backoff.Sleep(ctx, evacuationLimit+randomDuration(r, 4*time.Second))
	e.to = f.now()
	f.evacuated.Store(nil)
	f.store.Evacuate(domain, false)
	f.recorder.addEvacuation(e)
}

// restoreEvacuations writes the evacuation again that the store forgot with a restore, and
// removes one that has ended since the copy.
func (f *fleet) restoreEvacuations() {
	now := f.evacuated.Load()
	for _, domain := range domains {
		f.store.Evacuate(domain, now != nil && *now == domain)
	}
}

// sendsToEvacuatedDomains checks that targets of an evacuated failure domain receive no
// request after evacuationLimit.
func (e *evidence) sendsToEvacuatedDomains() (violations []string) {
	for _, evacuated := range e.evacuations {
		for _, r := range e.recorder.arrivals {
			if r.domain == evacuated.domain && !r.rejected && r.arrivedAt > evacuated.from+evacuationLimit && r.arrivedAt < evacuated.to &&
				e.faultFree(evacuated.from, r.arrivedAt) {
				violations = append(violations, fmt.Sprintf("%s at %s of domain %s, %v after its evacuation", r.id, r.target, r.domain,
					r.arrivedAt-evacuated.from))
			}
		}
	}
	return violations
}
