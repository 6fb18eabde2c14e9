package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
	"github.com/dogwoodroute/dogwoodroute/retry"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// waitingRetries bounds the requests that wait for the retry budget. A longer
// queue would hold them beyond the time of a useful answer.
const waitingRetries = 16

// Scheduler decides for one pool in one instance. It is not safe for
// concurrent use. The slices it returns are valid until the next call. Events
// of unknown requests and attempts are ignored.
type Scheduler struct {
	balancer  *balancer.Balancer
	admission *admission.Controller
	budget    retry.Budget
	straggler [admission.Lanes]*retry.StragglerDetector
	retries   *admission.Queue // requests that wait for the budget to send again

	requests  map[RequestID]*request
	attempts  map[AttemptID]*attempt
	open      intrusive.List[request] // in order of arrival
	next      AttemptID
	long      int  // long attempts in flight
	longShare int  // bound on long; see bounds
	probes    int  // probes in flight
	noTarget  bool // no target was serving when bounds last looked
	instances int
	returned  returned
	shedQueue int // queue that the last shed answer reported

	ticked     bool
	lastTick   time.Duration
	stale      bool
	staleSince time.Duration

	counters Counters
	actions  []Action
	exclude  []int
	choices  []balancer.Choice
}

// NewScheduler returns a scheduler without requests.
func NewScheduler(o Options) *Scheduler {
	b := balancer.New(balancer.Options{Pool: o.Pool, Rand: o.Rand, FailureDomain: o.FailureDomain})
	b.SetFleet(0, o.Fleet)
	s := &Scheduler{
		balancer: b,
		admission: admission.NewController(admission.Options{Rand: o.Rand, QueueLimit: o.QueueLimit,
			Slots: b.Slots(), Instances: o.Fleet.Instances}),
		straggler: [admission.Lanes]*retry.StragglerDetector{retry.NewStragglerDetector(), retry.NewStragglerDetector()},
		retries:   admission.NewQueue(waitingRetries),
		requests:  make(map[RequestID]*request),
		attempts:  make(map[AttemptID]*attempt),
		instances: o.Fleet.Instances,
		exclude:   make([]int, 0, tables.MaxMaxAttempts),
	}
	s.bounds()
	return s
}

// bounds takes over the balancer's sums over all targets. They are read on
// ticks and changes only, because reading them may cost a pass over the targets.
func (s *Scheduler) bounds() {
	s.longShare = s.balancer.LongShare()
	slots := s.balancer.Slots()
	s.noTarget = slots == 0
	s.admission.Window.SetBounds(slots, s.instances)
}

// begin starts every event.
func (s *Scheduler) begin(now time.Duration) {
	s.actions = s.actions[:0]
	s.returned = returned{}
	s.observe(now)
}
