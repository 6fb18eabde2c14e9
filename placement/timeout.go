package placement

import "time"

const (
	// timeoutWeight is the weight of a shorter stated time in the usual one, which is the
	// longest, so that it follows callers that change theirs within some hundred requests.
	timeoutWeight = 0.01
	// minWaited is the time that a caller must lack to count as one that returns. Callers
	// state whole milliseconds, and some less for their own delays.
	minWaited = 10 * time.Millisecond
	// maxWaitedShare is the part of the usual time above which a caller that lacks it is
	// taken for one with a shorter time-out of its own.
	maxWaitedShare = 0.5
	// maxTimeoutObjectives bounds the stated time that is taken for the usual one, in
	// objectives of the route. A single caller that states an hour would hide for hundreds of
	// requests what others lack.
	maxTimeoutObjectives = 8
)

// usualTimeout is the time that the callers of a route usually state to have for a first
// try. Instances do not know each other's refusals, and a caller that returns names
// neither its first request nor the instance that refused it: only the time that it lacks
// tells that it has waited.
type usualTimeout struct {
	longest time.Duration
	service string // of the last request
}

// observe adds the time that a caller states to have, and returns how much less that is
// than usual.
func (u *usualTimeout) observe(stated time.Duration) (lacks time.Duration) {
	if stated >= u.longest {
		u.longest = stated
		return 0
	}
	lacks = u.longest - stated
	u.longest -= scale(lacks, timeoutWeight)
	return lacks
}

// waitedBefore returns how long the caller has probably waited since its first try, which
// was refused, or 0 if this is the first or that is not known.
func (p *Placer) waitedBefore(r *Request) time.Duration {
	if r.CallerTimeout <= 0 {
		return 0
	}
	if p.demand.usualTimeouts == nil {
		p.demand.usualTimeouts = make(map[string]*usualTimeout)
	}
	u := p.demand.usualTimeouts[r.Route.Name]
	if u == nil {
		u = new(usualTimeout)
		p.demand.usualTimeouts[r.Route.Name] = u
	}
	u.service = r.Service
	lacks := u.observe(min(r.CallerTimeout, maxTimeoutObjectives*r.objective()))
	if lacks < minWaited || lacks > scale(u.longest, maxWaitedShare) {
		return 0
	}
	return lacks
}
