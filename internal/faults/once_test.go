package faults_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/internal/testbed"
)

// randomFault returns a random target fault for about one request in eight, and none
// for the others.
func randomFault(random *rand.Rand) standin.Fault {
	faults := []standin.Fault{standin.FaultCrash, standin.FaultTruncate, standin.FaultReset, standin.FaultDrop,
		standin.FaultLate, standin.FaultError, standin.FaultUnexpectedData}
	if n := random.IntN(8 * len(faults)); n < len(faults) {
		return faults[n]
	}
	return ""
}

// Guards against second runs and false "not run" reports when targets crash, truncate
// responses, reset connections and are slow, instances are replaced, and package caller
// retries.
func TestBrokenTargetsRunOnce(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 4, targets: 6})
	w.startCallers(16, randomFault)
	w.waitForResponses(200)
	w.fleet.Targets()[0].SetSlowdown(50)
	w.waitForResponses(200)
	for index := range 2 {
		w.kill(index)
		w.waitForResponses(100)
		w.waitServing(w.replace(index))
	}
	w.fleet.Targets()[0].SetSlowdown(1)
	w.fleet.Targets()[1].Crash()
	w.waitForResponses(200)
	w.verify()
}

// Guards against second runs and false "not run" reports when copies of one request
// with one ticket reach the ticket's owner and other instances in parallel, while the
// target misbehaves, and again after the owner was replaced.
func TestCopiesOfOneTicketRunOnce(t *testing.T) {
	for _, fault := range []standin.Fault{"", standin.FaultCrash, standin.FaultTruncate, standin.FaultReset,
		standin.FaultDrop, standin.FaultLate, standin.FaultError, standin.FaultStall} {
		t.Run("fault "+string(fault), func(t *testing.T) {
			t.Parallel()
			w := newScenario(t, scenarioOptions{instances: 3, targets: 3, service: 5 * time.Millisecond})
			r, instances := w.newRawClient(), w.fleet.Instances()
			var requests []testRequest
			tickets := r.tickets(instances[0].CallerAddress(), 10)
			for n, ticket := range tickets {
				o := w.newRequest(pathRecord)
				o.fault, o.deadline = fault, time.Second
				requests = append(requests, o)
				w.sendCopies(r, o, ticket, [][]*testbed.Instance{instances[:2], {instances[1], instances[0]}}[n%2])
				r.send(instances[2].CallerAddress(), o, ticket, 9)
			}
			w.kill(0)
			replacement := w.replace(0)
			w.waitServing(replacement)
			for n, o := range requests {
				w.sendCopies(r, o, tickets[n], []*testbed.Instance{replacement, instances[1]})
			}
			w.verify()
		})
	}
}

// Guards against a request that runs after its ticket was voided. The retry reaches
// another instance before the first attempt reaches the ticket's owner, so a "not run"
// report for the retry must hold for the late first attempt, too.
func TestLateFirstSendIsNotRun(t *testing.T) {
	t.Parallel()
	w := newScenario(t, scenarioOptions{instances: 3, targets: 2})
	r, instances := w.newRawClient(), w.fleet.Instances()
	for _, ticket := range r.tickets(instances[0].CallerAddress(), 20) {
		o := w.newRequest(pathRecord)
		r.send(instances[1].CallerAddress(), o, ticket, 2)
		r.send(instances[0].CallerAddress(), o, ticket, 1)
	}
	w.verify()
}
