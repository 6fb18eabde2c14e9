package gateway

import (
	"log/slog"
	"time"

	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

const (
	// demandInterval is the time between two reports of this instance's demand to the
	// fleet. It is below the time between two exchanges with a peer.
	demandInterval = 100 * time.Millisecond
	// shortageLogInterval is the shortest time between two log lines on a service.
	shortageLogInterval = time.Second
)

// shortages turns requests away while services are short of room, passes figures between
// the placer and the fleet, and logs what changes. The scheduler's goroutine owns it.
type shortages struct {
	placer   *placement.Placer
	onDemand func(take func() []shortage.Entry)
	demand   func() *[]shortage.Entry
	known    *[]shortage.Entry // of the last call of demand
	taken    time.Duration     // when onDemand was last called
	log      *slog.Logger
	metrics  Metrics
	logged   map[string]*loggedShortage // by service
}

// loggedShortage is a shortage as it was logged last.
type loggedShortage struct {
	at     time.Duration
	cutoff shortage.Cutoff
}

func newShortages(o Options, placer *placement.Placer) shortages {
	return shortages{placer: placer, onDemand: o.OnDemand, demand: o.Demand, log: o.Log, metrics: o.Metrics, logged: make(map[string]*loggedShortage)}
}

// offer decides on a request that has arrived. If it is turned away, retryAfter is the time
// after which its caller should return.
func (s *shortages) offer(now time.Duration, r *placement.Request) (retryAfter time.Duration, turnedAway bool) {
	s.synchronize(now)
	turnedAway = s.placer.Offer(now, r)
	s.record(now, r.Service)
	if !turnedAway {
		return 0, false
	}
	s.metrics.TurnedAway(r.Route.Rank)
	return s.placer.TurnedAwayFor(now, r), true
}

// synchronize gives the fleet what this instance has seen, and the placer what the fleet
// has, if there is something new.
func (s *shortages) synchronize(now time.Duration) {
	if s.onDemand == nil {
		return
	}
	if now-s.taken >= demandInterval {
		s.taken = now
		s.onDemand(func() []shortage.Entry { return s.placer.TakeDemand(now) })
	}
	if known := s.demand(); known != s.known && known != nil {
		s.known = known
		s.placer.SetDemand(now, *known)
	}
}

// record updates the metrics of a service, and logs if a shortage has begun or ended or
// other ranks are turned away than before.
func (s *shortages) record(now time.Duration, service string) {
	cutoff := s.placer.Cutoff(now, service)
	last := s.logged[service]
	if last == nil {
		if cutoff.Level == 0 {
			return
		}
		last = &loggedShortage{at: now - shortageLogInterval}
		s.logged[service] = last
	}
	s.metrics.Shortage(service, cutoff.Level)
	rank, short := cutoff.Rank()
	loggedRank, wasShort := last.cutoff.Rank()
	if short == wasShort && rank == loggedRank || now-last.at < shortageLogInterval {
		return
	}
	if short {
		s.log.Info("service is short of room", "service", service, "turned_away_percent", int(100*cutoff.Level), "from_rank", rank)
	} else {
		s.log.Info("service is no longer short of room", "service", service)
	}
	last.at, last.cutoff = now, cutoff
}

// update records the services that were short of room and may have got no request since,
// and removes those whose shortage is over.
func (s *shortages) update(now time.Duration) {
	s.synchronize(now)
	for service, last := range s.logged {
		s.record(now, service)
		if last.cutoff.Level == 0 && now-last.at >= shortageLogInterval && s.placer.Cutoff(now, service).Level == 0 {
			delete(s.logged, service)
		}
	}
}
