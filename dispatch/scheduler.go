package dispatch

import (
	"time"

	"github.com/dogwoodroute/dogwoodroute/admission"
	"github.com/dogwoodroute/dogwoodroute/balancer"
	"github.com/dogwoodroute/dogwoodroute/internal/intrusive"
	"github.com/dogwoodroute/dogwoodroute/retry"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// waitingRetries bounds the requests that wait for the retry budget. In a longer
// queue they would wait until a response is no longer useful.
const waitingRetries = 16

// Scheduler schedules the requests of one pool in one instance. It is not safe
// for concurrent use. Times are durations since the instance's start. The
// returned slices are valid until the next call. Events for unknown requests
// and attempts are ignored.
type Scheduler struct {
	balancer    *balancer.Balancer
	admission   *admission.Controller
	retryBudget retry.Budget
	stragglers  [admission.Lanes]*retry.StragglerDetector
	retries     *admission.Queue // requests that wait for the retry budget

	requests        map[RequestID]*request
	attempts        map[AttemptID]*attempt
	openRequests    intrusive.List[request] // unanswered requests in order of arrival
	lastAttemptID   AttemptID
	longInFlight    int  // long attempts in flight
	longShare       int  // bound on longInFlight; see updateBounds
	probesInFlight  int  // probes in flight
	noServingTarget bool // as of the last updateBounds
	instances       int  // largest number of instances that may be alive
	freed           freedSlot
	shedQueueLen    int // queue length reported by the last shed response

	ticked     bool
	lastTick   time.Duration
	stale      bool
	staleSince time.Duration

	counters Counters
	actions  []Action
	exclude  []int
	choices  []balancer.Choice
}

// NewScheduler returns a Scheduler without requests.
func NewScheduler(o Options) *Scheduler {
	b := balancer.New(balancer.Options{Pool: o.Pool, Rand: o.Rand, FailureDomain: o.FailureDomain})
	b.SetFleet(0, o.Fleet)
	s := &Scheduler{
		balancer: b,
		admission: admission.NewController(admission.Options{Rand: o.Rand, QueueLimit: o.QueueLimit,
			Slots: b.Slots(), Instances: o.Fleet.Instances}),
		stragglers: [admission.Lanes]*retry.StragglerDetector{retry.NewStragglerDetector(), retry.NewStragglerDetector()},
		retries:    admission.NewQueue(waitingRetries),
		requests:   make(map[RequestID]*request),
		attempts:   make(map[AttemptID]*attempt),
		instances:  o.Fleet.Instances,
		exclude:    make([]int, 0, tables.MaxAttemptsLimit),
	}
	s.updateBounds()
	return s
}

// updateBounds copies the balancer's totals over all targets. It is called only
// on ticks and configuration changes, because computing the totals may take a
// pass over the targets.
func (s *Scheduler) updateBounds() {
	s.longShare = s.balancer.LongShare()
	slots := s.balancer.Slots()
	s.noServingTarget = slots == 0
	s.admission.Window.SetBounds(slots, s.instances)
}

// beginEvent must be called first in every event. It discards the actions and
// the freed slot of the previous event and detects pauses.
func (s *Scheduler) beginEvent(now time.Duration) {
	s.actions = s.actions[:0]
	s.freed = freedSlot{}
	s.detectPause(now)
}
