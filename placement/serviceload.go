package placement

import "time"

const (
	// loadWeight is the weight of a new report in the mean load of a service.
	loadWeight = 0.1
	// loadHalfLife is the half-life of the mean load without new reports, so that an
	// instance that gets no reports tries the targets again.
	loadHalfLife = time.Second
)

// serviceLoad is the mean load of the targets of a service, from recent reports.
type serviceLoad struct {
	// occupied is the mean share of the slots that run or queue a request. It
	// exceeds 1 if the targets have queues.
	occupied float64
	// speed is the mean of 1/Load.Slowness: the speed of the targets changes faster
	// than requests complete.
	speed float64
	at    time.Duration
}

// observe adds a report.
func (l *serviceLoad) observe(r Report) {
	occupied := float64(r.Load.Running+r.Load.Waiting) / float64(max(1, r.Load.Slots))
	l.occupied = l.current(r.At)
	l.occupied += loadWeight * (occupied - l.occupied)
	l.speed += loadWeight * (1/max(minSlowness, r.Load.Slowness) - l.speed)
	l.at = max(l.at, r.At)
}

// current returns the mean occupied share, reduced for the time without reports.
func (l *serviceLoad) current(now time.Duration) float64 {
	return l.occupied * decay(max(0, now-l.at), loadHalfLife)
}

func (p *Placer) load(service string) *serviceLoad {
	l := p.loads[service]
	if l == nil {
		l = &serviceLoad{speed: 1}
		p.loads[service] = l
	}
	return l
}

// predict returns the load that a target probably has now, from its last report.
// Within about the time of a request, in which the target completes what it ran,
// the figures of the report approach the mean of its service. The prediction has the
// time of that report, 0 if there is none, so that all later sends count.
func (p *Placer) predict(now time.Duration, t *target, mean time.Duration) Report {
	service := p.load(t.Service)
	predicted := Report{Target: t.Target, Load: Load{Slots: max(1, t.Slots)}}
	occupied, slowness := service.current(now)*float64(predicted.Load.Slots), 1/service.speed
	if last := t.lastReport; last.Target != nil {
		predicted.At, predicted.Load.Slots = last.At, max(1, last.Load.Slots)
		part := decay(now-last.At, mean)
		occupied += part * (float64(last.Load.Running+last.Load.Waiting) - occupied)
		slowness += part * (last.Load.Slowness - slowness)
	}
	predicted.Load.Running = min(predicted.Load.Slots, int(occupied+0.5))
	predicted.Load.Waiting = max(0, int(occupied+0.5)-predicted.Load.Slots)
	predicted.Load.Slowness = slowness
	return predicted
}
