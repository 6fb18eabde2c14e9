package relay

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// lostPause is the time for which an instance that did not answer gets no requests.
	lostPause = time.Second
	// unablePause is the time for which an instance that was unable to serve a service gets no
	// requests for it. It is the time in which the fleet learns which instances are cut off.
	unablePause = time.Second
	// outageAfter is the number of instances in a row, or all if there are fewer, that must be
	// unable to serve a service before it counts as down everywhere, for outagePause.
	// Requests for it are then refused at once, but for one at the end of each pause.
	outageAfter = 6
	outagePause = 500 * time.Millisecond
	// localShare is the share of the instances of the own failure domain that must be usable
	// so that requests stay in the domain. Fewer would get too many requests.
	localShare = 0.5
)

// Peer is an instance that may serve requests of others.
type Peer struct {
	IP            netip.Addr
	FailureDomain string
	// Weight is the load that the instance should get, relative to others.
	Weight float64
	// CutOff is true if the instance has said that it reaches no target.
	CutOff bool
}

// Result is how a request ended that was sent to an instance.
type Result int

const (
	// Abandoned is the result of a request that its caller has given up. It says nothing.
	Abandoned Result = iota
	// Answered means that the instance has served the request or refused it.
	Answered
	// Unable means that the instance cannot serve the service; see Response.Unable.
	Unable
	// Lost means that there was no answer.
	Lost
)

// Chooser chooses the instances that get the requests which this one cannot serve, and
// learns from their answers. It is for the load of an instance, or a part of the fleet, that
// a partition separates from the targets. It is not safe for concurrent use.
type Chooser struct {
	domain     string
	random     *rand.Rand
	lostUntil  map[netip.Addr]time.Duration
	inProgress map[netip.Addr]int
	services   map[string]*serviceState
}

// serviceState is what is known of one service.
type serviceState struct {
	unableUntil map[netip.Addr]time.Duration
	// unable is the number of instances that were unable since one answered.
	unable      int
	pausedUntil time.Duration
}

// NewChooser returns a chooser for an instance of a failure domain.
func NewChooser(failureDomain string, random *rand.Rand) *Chooser {
	return &Chooser{domain: failureDomain, random: random, lostUntil: make(map[netip.Addr]time.Duration),
		inProgress: make(map[netip.Addr]int), services: make(map[string]*serviceState)}
}

// Choose returns the instance that gets a request for a service. Those that the request was
// sent to before are left out. It reports false if no instance is likely to serve it. Ended must
// be called after the request.
func (c *Chooser) Choose(now time.Duration, service string, peers []Peer, tried []netip.Addr) (Peer, bool) {
	s := c.service(service)
	if now < s.pausedUntil {
		return Peer{}, false
	}
	if s.unable >= outageAfter {
		s.pausedUntil = now + outagePause // this request is the one that finds out
	}
	var local, others []Peer
	locals := 0
	for _, p := range peers {
		if p.FailureDomain == c.domain {
			locals++
		}
		switch {
		case p.CutOff || now < c.lostUntil[p.IP] || now < s.unableUntil[p.IP] || slices.Contains(tried, p.IP):
		case p.FailureDomain == c.domain:
			local = append(local, p)
		default:
			others = append(others, p)
		}
	}
	candidates := local
	if len(others) > 0 && float64(len(local)) < localShare*float64(locals) || len(local) == 0 {
		candidates = append(local, others...)
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	chosen := c.pickOfTwo(candidates)
	c.inProgress[chosen.IP]++
	return chosen, true
}

// pickOfTwo draws two instances by weight and returns the one with fewer of this instance's
// requests in progress for its weight.
func (c *Chooser) pickOfTwo(list []Peer) Peer {
	a, b := c.draw(list), c.draw(list)
	if float64(c.inProgress[b.IP])*a.Weight < float64(c.inProgress[a.IP])*b.Weight {
		return b
	}
	return a
}

func (c *Chooser) draw(list []Peer) Peer {
	total := 0.0
	for _, p := range list {
		total += p.Weight
	}
	at := c.random.Float64() * total
	for _, p := range list {
		if at -= p.Weight; at < 0 {
			return p
		}
	}
	return list[len(list)-1]
}

// Ended records how a request for a service ended that was sent to an instance.
func (c *Chooser) Ended(now time.Duration, service string, peer netip.Addr, result Result) {
	if c.inProgress[peer]--; c.inProgress[peer] <= 0 {
		delete(c.inProgress, peer)
	}
	s := c.service(service)
	switch result {
	case Answered:
		s.unable, s.pausedUntil = 0, 0
		delete(s.unableUntil, peer)
		delete(c.lostUntil, peer)
	case Unable:
		s.unable++
		s.unableUntil[peer] = now + unablePause
	case Lost:
		c.lostUntil[peer] = now + lostPause
	}
}

func (c *Chooser) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{unableUntil: make(map[netip.Addr]time.Duration)}
		c.services[name] = s
	}
	return s
}

// Expire drops what no longer counts.
func (c *Chooser) Expire(now time.Duration) {
	expired := func(_ netip.Addr, until time.Duration) bool { return now >= until }
	maps.DeleteFunc(c.lostUntil, expired)
	for name, s := range c.services {
		maps.DeleteFunc(s.unableUntil, expired)
		if len(s.unableUntil) == 0 && now >= s.pausedUntil {
			delete(c.services, name)
		}
	}
}
