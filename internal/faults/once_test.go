package faults_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// someFaults makes about one request in eight meet a fault of its target.
func someFaults(random *rand.Rand) standin.Fault {
	faults := []standin.Fault{standin.FaultCrash, standin.FaultTruncate, standin.FaultReset, standin.FaultDrop,
		standin.FaultLate, standin.FaultError, standin.FaultUnexpectedData}
	if n := random.IntN(8 * len(faults)); n < len(faults) {
		return faults[n]
	}
	return ""
}

// Guards against second runs and false "not run" when targets crash, break
// off, reset and are slow, instances are replaced, and package caller resends.
func TestBrokenTargetsRunOnce(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 6})
	w.load(16, someFaults)
	w.moreAnswers(200)
	w.fleet.Targets()[0].SetSlowdown(50)
	w.moreAnswers(200)
	for place := range 2 {
		w.kill(place)
		w.moreAnswers(100)
		w.serving(w.replace(place))
	}
	w.fleet.Targets()[0].SetSlowdown(1)
	w.fleet.Targets()[1].Crash()
	w.moreAnswers(200)
	w.verify()
}

// Guards against second runs and false "not run" when copies of one request
// with one ticket reach its owner and others in parallel, while the target
// misbehaves, and again after the owner was replaced.
func TestCopiesOfOneTicketRunOnce(t *testing.T) {
	for _, fault := range []standin.Fault{"", standin.FaultCrash, standin.FaultTruncate, standin.FaultReset,
		standin.FaultDrop, standin.FaultLate, standin.FaultError, standin.FaultStall} {
		t.Run("fault "+string(fault), func(t *testing.T) {
			t.Parallel()
			w := newScenario(t, scenarioOptions{instances: 3, targets: 3, service: 5 * time.Millisecond})
			r, instances := w.raw(), w.fleet.Instances()
			var orders []order
			tickets := r.tickets(instances[0].CallerAddress(), 10)
			for n, ticket := range tickets {
				o := w.order(pathRecord)
				o.fault, o.deadline = fault, time.Second
				orders = append(orders, o)
				w.resend(r, o, ticket, [][]*testbed.Instance{instances[:2], {instances[1], instances[0]}}[n%2])
				r.send(instances[2].CallerAddress(), o, ticket, 9)
			}
			w.kill(0)
			fresh := w.replace(0)
			w.serving(fresh)
			for n, o := range orders {
				w.resend(r, o, tickets[n], []*testbed.Instance{fresh, instances[1]})
			}
			w.verify()
		})
	}
}

// Guards against a voided ticket that starts later, and a "not run" told before
// a late first send arrives: the copy reaches another instance first.
func TestLateFirstSendIsNotRun(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 3, targets: 2})
	r, instances := w.raw(), w.fleet.Instances()
	for _, ticket := range r.tickets(instances[0].CallerAddress(), 20) {
		o := w.order(pathRecord)
		r.send(instances[1].CallerAddress(), o, ticket, 2)
		r.send(instances[0].CallerAddress(), o, ticket, 1)
	}
	w.verify()
}
