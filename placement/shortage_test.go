package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/placement"
	"github.com/dogwoodroute/dogwoodroute/shortage"
)

// The simulated fleet: instances that see about four requests a second each, for a service
// whose targets can just serve the demand shortRoutes(1). Instances exchange figures with
// fixed partners four times a second, with one in another failure domain each eighth time.
const (
	shortInstances     = 300
	shortTargets       = 60
	shortLocalPartners = 8
	shortFarPartners   = 4
	shortFarEvery      = 8
	shortExchange      = 250 * time.Millisecond
	shortHandOver      = 100 * time.Millisecond
	// shortLoaded and shortEnd are the seconds in which the demand is raised, and shortCalm
	// is when all must be as before.
	shortLoaded, shortEnd, shortCalm = 4, 13, 18
)

// shortFleet is an overloadFleet whose instances exchange sums.
type shortFleet struct {
	*overloadFleet
	ledgers []*shortage.Ledger
	rounds  []int
	// split is set while instances with an even and an odd number do not reach each other.
	split bool
}

// shortRoutes returns routes to one service: a second of their slot time is spread evenly,
// the last two differ only in the slot time that they need.
func shortRoutes(factor func(now time.Duration) float64) []*overloadService {
	const slots = shortTargets * 4 * 0.8 // below saturation, at the mean speed
	list := []*overloadService{
		{name: "reads", rank: 0, targets: shortTargets, work: 100 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 2 * time.Second},
		{name: "acts", rank: 1, work: 200 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 3 * time.Second},
		{name: "lists", rank: 2, work: 150 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 3 * time.Second},
		{name: "exports", rank: 2, work: 300 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 4 * time.Second},
	}
	for _, s := range list {
		s.shares, s.burst, s.factor = "reads", 1, factor
		s.rate = slots / float64(len(list)) / s.work.Seconds()
	}
	return list
}

func newShortFleet(seed uint64, services []*overloadService, decide bool) *shortFleet {
	f := &shortFleet{overloadFleet: newOverloadFleet(seed, shortInstances, services), rounds: make([]int, shortInstances)}
	for range f.placers {
		f.ledgers = append(f.ledgers, new(shortage.Ledger))
	}
	if decide {
		f.offer = func(now time.Duration, r *overloadRequest) bool { return f.placers[r.instance].Offer(now, &r.request) }
		f.started = func(now time.Duration, r *overloadRequest) { f.placers[r.instance].Started(now, &r.request) }
		f.step = f.exchange
	}
	return f
}

// exchange lets the instances whose time has come exchange their sums.
func (f *shortFleet) exchange(now time.Duration) {
	for i, p := range f.placers {
		phase := now + time.Duration(i)*7*time.Millisecond
		if phase%shortHandOver == 0 {
			for _, e := range p.TakeDemand(now) {
				f.ledgers[i].Add(now, e.Service, e.Sums)
			}
			p.SetDemand(now, f.ledgers[i].Entries())
		}
		if phase%shortExchange != 0 || i >= f.reachable {
			continue
		}
		f.rounds[i]++
		// Partners differ by an even number within the failure domain, by an odd one beyond.
		partner := i + 2*(1+i*37%91+f.random.IntN(shortLocalPartners)*17)
		if f.rounds[i]%shortFarEvery == 0 {
			partner = i + 1 + 2*(i*53%83+f.random.IntN(shortFarPartners)*29)
		}
		partner %= shortInstances
		if partner >= f.reachable || f.split && (partner-i)%2 != 0 {
			continue
		}
		sent := f.ledgers[i].ToSend(now)
		f.ledgers[partner].Average(now, sent)
		f.ledgers[i].Adopt(now, sent, f.ledgers[partner].Answer(now, sent, f.rounds[i] == 1))
		p.SetDemand(now, f.ledgers[i].Entries())
	}
}

// restart replaces every third instance by one that knows nothing.
func (f *shortFleet) restart(now time.Duration) {
	for i := 0; i < len(f.placers); i += 3 {
		p := placement.New(fmt.Sprint(i%2), rand.New(rand.NewPCG(uint64(i), 77)))
		p.SetTargets(now, f.lists)
		p.SetFleet(now, shortInstances, overloadProbeLimit)
		f.placers[i], f.ledgers[i], f.rounds[i] = p, new(shortage.Ledger), 0
	}
	for _, r := range f.pending {
		r.waiting = r.waiting && r.instance%3 != 0
	}
}

// levels returns the mean level of the restarted instances and of the others.
func (f *shortFleet) levels(now time.Duration) (restarted, others float64) {
	for i, p := range f.placers {
		if level := p.Cutoff(now, "reads").Level; i%3 == 0 {
			restarted += level / (shortInstances / 3)
		} else {
			others += level / (shortInstances - shortInstances/3)
		}
	}
	return restarted, others
}

// counts returns the requests of services that arrived in these seconds, and how many of
// them were served and in time.
func counts(from, to int, services ...*overloadService) (requests, served, onTime float64) {
	for _, s := range services {
		for second := from; second < to; second++ {
			requests += float64(s.requests[second])
			served += float64(s.served[second])
			onTime += float64(s.onTime[second])
		}
	}
	return requests, served, onTime
}

// step returns a demand that is x times the room in the loaded seconds, otherwise 0.8.
func step(x float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if second := int(now / time.Second); second >= shortLoaded && second < shortEnd {
			return x
		}
		return 0.8
	}
}

// checkOrder checks what callers get in the loaded seconds.
func checkOrder(t *testing.T, services []*overloadService) {
	const (
		maxInversion = 0.05 // served share by which a less urgent kind may exceed a more urgent one
		minOfAll     = 0.25 // served share of each kind as a part of that of all
	)
	requests, served, _ := counts(shortLoaded, shortEnd, services...)
	before := 1.0
	for _, s := range services { // from the most urgent on
		r, ok, in := counts(shortLoaded, shortEnd, s)
		t.Logf("%s (rank %d): served %.3f, in time %.3f", s.name, s.rank, ok/r, in/r)
		if ok/r > before+maxInversion {
			t.Errorf("%s is served %.3f, the kind before it %.3f", s.name, ok/r, before)
		}
		if ok/r < minOfAll*served/requests {
			t.Errorf("%s is served %.3f, all %.3f", s.name, ok/r, served/requests)
		}
		before = ok / r
	}
}

// checkCalm checks that some seconds after the load callers get what they got before it.
func checkCalm(t *testing.T, services []*overloadService) {
	const allowedLoss = 0.03 // sampling error
	r, _, before := counts(1, shortLoaded, services...)
	before /= r
	r, _, after := counts(shortCalm, int(overloadDuration/time.Second)-1, services...)
	after /= r
	t.Logf("in time before %.3f, after %.3f", before, after)
	if after < before-allowedLoss {
		t.Errorf("%.3f in time from %d s on, %.3f before the load", after, shortCalm, before)
	}
}

// Guards against a fleet that lets urgent requests wait behind others in a shortage,
// starves a kind of request, or keeps turning requests away after it: in a burst, a wave, a
// cut in which callers reach half of the instances, and after a start of many instances,
// which must soon agree with the others.
func TestShortageIsSharedByOrder(t *testing.T) {
	wave := func(now time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/13) }
	for _, c := range []struct {
		name   string
		factor func(time.Duration) float64
		event  func(t *testing.T, f *shortFleet, now time.Duration)
	}{
		{name: "demand 0.8", factor: step(0.8)},
		{name: "demand 1.3", factor: step(1.3)},
		{name: "wave", factor: wave},
		{name: "cut", factor: step(1.3), event: func(_ *testing.T, f *shortFleet, now time.Duration) {
			switch now {
			case 6 * time.Second:
				f.split, f.reachable = true, shortInstances/2
			case 11 * time.Second:
				f.split, f.reachable = false, shortInstances
			}
		}},
		{name: "start", factor: step(2), event: func(t *testing.T, f *shortFleet, now time.Duration) {
			switch now {
			case 8 * time.Second:
				f.restart(now)
			case 9 * time.Second:
				if restarted, others := f.levels(now); math.Abs(restarted-others) > 0.1 {
					t.Errorf("instances that started a second ago turn %.2f of the demand away, the others %.2f", restarted, others)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			services := shortRoutes(c.factor)
			f := newShortFleet(1, services, true)
			if exchange := f.step; c.event != nil {
				f.step = func(now time.Duration) { c.event(t, f, now); exchange(now) }
			}
			f.run()
			checkOrder(t, services)
			if c.name != "wave" { // there the seconds before are loaded
				checkCalm(t, services)
			}
		})
	}
}

// Guards against goodput that falls while more is asked than there is room for, and shows
// what the decision is worth: without it requests wait and are refused by chance.
func TestGoodputAtTwiceTheRoom(t *testing.T) {
	onTime := func(x float64, decide bool) (sum float64) {
		for seed := range uint64(2) {
			services := shortRoutes(step(x))
			newShortFleet(seed, services, decide).run()
			_, _, in := counts(shortLoaded, shortEnd, services...)
			sum += in
		}
		return sum
	}
	full, twice, undecided := onTime(1, true), onTime(2, true), onTime(2, false)
	t.Logf("in time: %.0f at a demand of 1.0, %.0f at 2.0, %.0f without the decision", full, twice, undecided)
	if twice < full || twice < undecided {
		t.Errorf("%.0f requests in time at twice the room, %.0f at a demand of 1.0, %.0f without the decision", twice, full, undecided)
	}
}
