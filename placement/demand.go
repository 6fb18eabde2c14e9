package placement

import (
	"maps"
	"time"

	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// cutoffInterval is the time for which a cut-off is used before it is derived again. Sums
// change little in it.
const cutoffInterval = 20 * time.Millisecond

// demand is what the placer knows of the demand for services and of their room.
type demand struct {
	// known is the sums of the fleet, or of this instance alone if it has none of the fleet.
	known shortage.Ledger
	// own is the room that targets reported to this instance.
	own shortage.Ledger
	// seen is what this instance has seen since TakeDemand was called.
	seen map[string]shortage.Sums
	// cutoffs is by service.
	cutoffs map[string]timedCutoff
	// usualTimeouts holds the longest times that callers state to have, by route name.
	usualTimeouts map[string]*usualTimeout
}

// timedCutoff is a cut-off that was derived at a time.
type timedCutoff struct {
	shortage.Cutoff
	at time.Duration
}

// record adds what this instance saw of a service.
func (d *demand) record(now time.Duration, service string, s shortage.Sums) {
	if d.seen == nil {
		d.seen = make(map[string]shortage.Sums)
	}
	d.seen[service] = d.seen[service].Plus(s)
	d.known.Add(now, service, s)
}

// keepServices removes what is known of services that are not in the list.
func (d *demand) keepServices(services map[string][]*target) {
	maps.DeleteFunc(d.cutoffs, func(service string, _ timedCutoff) bool { return services[service] == nil })
	maps.DeleteFunc(d.usualTimeouts, func(_ string, u *usualTimeout) bool { return services[u.service] == nil })
}

// TakeDemand returns what this instance has seen since the last call, for the fleet.
func (p *Placer) TakeDemand(now time.Duration) []shortage.Entry {
	list := make([]shortage.Entry, 0, len(p.demand.seen))
	for service, s := range p.demand.seen {
		list = append(list, shortage.Entry{Service: service, Sums: s, At: now})
	}
	clear(p.demand.seen)
	return list
}

// SetDemand replaces the sums of this instance by those of the fleet, which contain what
// TakeDemand has returned.
func (p *Placer) SetDemand(now time.Duration, fleet []shortage.Entry) {
	p.demand.known.Replace(fleet)
	for service, s := range p.demand.seen {
		p.demand.known.Add(now, service, s)
	}
}

// Cutoff returns which requests for a service are turned away now: none if the targets that
// this instance asks clearly have room, whatever the figures of the fleet say.
func (p *Placer) Cutoff(now time.Duration, service string) shortage.Cutoff {
	c, ok := p.demand.cutoffs[service]
	if !ok || now-c.at >= cutoffInterval {
		if p.demand.cutoffs == nil {
			p.demand.cutoffs = make(map[string]timedCutoff)
		}
		c = timedCutoff{at: now}
		if !p.demand.own.Sums(now, service).HasRoom() {
			c.Cutoff = shortage.NewCutoff(p.demand.known.Sums(now, service))
		}
		p.demand.cutoffs[service] = c
	}
	return c.Cutoff
}

// Offer records that a request has arrived, and reports whether it is turned away because
// its service is short of room for more urgent ones, or for ones that cost less.
//
// A caller that returns after a refusal, and can still get its response within the
// objective, is turned away only if a new one would be turned away twice. Strict
// precedence would refuse all new requests of the route whose room is short, and let each
// of its responses come later by a Retry-After time.
func (p *Placer) Offer(now time.Duration, r *Request) (turnedAway bool) {
	mean := p.workOf(r.Route).mean
	waited := p.waitedBefore(r)
	p.demand.record(now, r.Service, shortage.Request(shortage.KeyOf(r.Route.Name), r.Route.Rank, mean))
	share := p.admittedShare(now, r)
	if share >= 1 {
		return false
	}
	r.routeLimited = true
	refused := 1 - share
	if waited > 0 && waited+mean+callerRoundTrip <= r.objective() {
		refused *= refused
	}
	if p.random.Float64() >= refused {
		return false
	}
	p.FoundNoRoom(now, r)
	return true
}

// FoundNoRoom records that a request is refused before it was sent to any target.
func (p *Placer) FoundNoRoom(now time.Duration, r *Request) {
	p.demand.record(now, r.Service, shortage.Sums{Refused: p.workOf(r.Route).mean.Seconds()})
}

// TurnedAwayFor returns the time after which a caller should return whose request was turned
// away: in the time in which its objective can still be met, as late as it might have waited
// for room, or else anywhere in the first half of the time that it has left. It is
// randomized, so that callers do not return all at once.
func (p *Placer) TurnedAwayFor(now time.Duration, r *Request) time.Duration {
	mean := p.workOf(r.Route).mean
	first, last := mean, scale(r.Deadline-now, maxWaitShare)
	if useful := r.Arrived + r.objective() - mean - callerRoundTrip - now; useful > 0 {
		first, last = scale(useful, slackShare/2), scale(useful, slackShare)
	}
	return first + time.Duration(p.random.Float64()*float64(max(0, last-first)))
}

// MayUseWholeRetryBudget reports whether a retry of the request may use all of the retry
// budget of its service.
func (p *Placer) MayUseWholeRetryBudget(now time.Duration, r *Request) bool {
	return p.hasPrecedence(now, r)
}

// Started records that a request is sent to a target for the first time.
func (p *Placer) Started(now time.Duration, r *Request) {
	p.demand.record(now, r.Service, shortage.Sums{Started: p.workOf(r.Route).mean.Seconds()})
}

// RefusedAfterStart records that a request for which Started was called at startedAt is
// refused, as targets rejected it.
func (p *Placer) RefusedAfterStart(now, startedAt time.Duration, r *Request) {
	p.demand.record(now, r.Service, shortage.RefusedAfterStart(p.workOf(r.Route).mean, now-startedAt))
}

// admittedShare returns the share of the requests of this route that are admitted now. It
// is 1 unless the service is short of room and the route is one of those that are turned
// away in part.
func (p *Placer) admittedShare(now time.Duration, r *Request) float64 {
	return p.Cutoff(now, r.Service).Share(shortage.KeyOf(r.Route.Name))
}

// hasPrecedence reports whether the request may use the slots of targets above the saturation
// point and the whole retry budget of its service. While routes are turned away, the
// admitted requests of theirs leave both to routes that come before them.
func (p *Placer) hasPrecedence(now time.Duration, r *Request) bool {
	return r.Urgent() && p.admittedShare(now, r) >= 1
}

// observeRoom records how full a target reports to be. The room of a slow target counts
// less: it completes less, and is no use for requests with a short objective.
func (p *Placer) observeRoom(t *target, r Report) {
	speed := 1 / max(1, r.Load.Slowness)
	room := shortage.Sums{Room: speed}
	if occupied := r.Load.Running + r.Load.Waiting; occupied > 0 {
		saturation := p.curve(t.Service).saturation(max(1, r.Load.Slots))
		room.Used = speed * min(1, float64(occupied)/float64(saturation))
	}
	p.demand.record(r.At, t.Service, room)
	p.demand.own.Add(r.At, t.Service, room)
}
