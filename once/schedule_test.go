package once

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// fleet simulates instances, callers and one target, with restarts, pauses,
// partitions, and lost, delayed or reordered messages.
type fleet struct {
	rt          *rapid.T
	ledgers     []*Ledger
	clocks      []time.Duration
	paused      []bool
	partitioned [3][3]bool // whether the first instance cannot reach the second
	lastSeed    byte
	tickets     []string
	started     []startedRequest // started requests that have not reached the target
	messages    []func()         // in transit; delivered in any order or lost
	runs        map[string]int   // by ticket
	notRun      map[string]bool  // tickets with a refusal that promised "not run"
}

type startedRequest struct {
	ledger *Ledger
	clock  *time.Duration
	ticket string
	serial uint64
}

func (f *fleet) restart(i int) {
	f.lastSeed++
	f.ledgers[i], f.clocks[i], f.paused[i] = newLedger(f.lastSeed, Options{MaxRunning: 2, MaxTotalResponseBytes: 600}), 0, false
}

// recordRefusal records a refusal that a caller receives.
func (f *fleet) recordRefusal(ticket string, r *refusal.Refusal) {
	f.notRun[ticket] = f.notRun[ticket] || r.Execution == refusal.NotRun
}

// request delivers the request of a ticket to an instance, or puts it back in
// transit while the instance is paused.
func (f *fleet) request(i int, ticket string) {
	if f.paused[i] {
		f.messages = append(f.messages, func() { f.request(i, ticket) })
		return
	}
	d := f.ledgers[i].Begin(f.clocks[i], ticket, Fingerprint{})
	switch {
	case d.State == StateStarted:
		f.started = append(f.started, startedRequest{f.ledgers[i], &f.clocks[i], ticket, d.Serial})
	case d.Fault == FaultForeign:
		f.resolve(i, ticket)
	case d.Refusal() != nil:
		f.recordRefusal(ticket, d.Refusal())
	}
}

// resolve settles a ticket with its owner. The call and its reply are separate
// messages, so that each may be lost and the owner may change state between
// them.
func (f *fleet) resolve(at int, ticket string) {
	f.messages = append(f.messages, func() {
		settlement, err := f.Settle(at, ticket)
		f.messages = append(f.messages, func() {
			r := Resolve(context.Background(), settleReply{settlement, err}, ticket, Fingerprint{})
			if r.Refusal != nil {
				f.recordRefusal(ticket, r.Refusal)
			}
		})
	})
}

func (f *fleet) Settle(at int, ticket string) (Settlement, error) {
	content, _ := Decode(ticket)
	for i, l := range f.ledgers {
		if l.Incarnation() == content.Incarnation && !f.paused[i] && !f.partitioned[at][i] {
			return l.Settle(f.clocks[i], ticket), nil
		}
	}
	return Settlement{}, errors.New("owner unreachable")
}

// settleReply implements Owners with a reply that has already arrived.
type settleReply struct {
	settlement Settlement
	err        error
}

func (r settleReply) Settle(context.Context, Incarnation, string) (Settlement, error) {
	return r.settlement, r.err
}

// finishRun ends a started request, which the target has run unless kind is
// ResultNotRun. If lost is true, the ledger is not informed of the end.
func (f *fleet) finishRun(g startedRequest, kind ResultKind, lost bool) {
	if kind != ResultNotRun {
		f.runs[g.ticket]++
	}
	if !lost {
		g.ledger.Finish(*g.clock, g.serial, Result{Kind: kind, Response: recordedResponse})
	}
	if kind == ResultNotRun {
		f.notRun[g.ticket] = true
	}
}

// takeRandom removes and returns a random element. ok is false if there is none.
func takeRandom[T any](rt *rapid.T, from *[]T) (item T, ok bool) {
	if len(*from) == 0 {
		return item, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(rt, "pick")
	item = (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return item, true
}

func (f *fleet) step() {
	i := rapid.IntRange(0, len(f.ledgers)-1).Draw(f.rt, "instance")
	switch rapid.IntRange(0, 11).Draw(f.rt, "step") {
	case 0:
		if !f.paused[i] {
			f.tickets = append(f.tickets, f.ledgers[i].Issue(f.clocks[i], 2)...)
		}
	case 1, 2, 3: // a caller sends or resends a request
		if n := len(f.tickets); n > 0 {
			ticket := f.tickets[max(0, n-1-rapid.IntRange(0, 5).Draw(f.rt, "ticket"))]
			f.messages = append(f.messages, func() { f.request(i, ticket) })
		}
	case 4, 5, 6:
		if deliver, ok := takeRandom(f.rt, &f.messages); ok {
			deliver()
		}
	case 7, 8:
		if g, ok := takeRandom(f.rt, &f.started); ok {
			f.finishRun(g, ResultKind(rapid.IntRange(0, 2).Draw(f.rt, "result")), rapid.Bool().Draw(f.rt, "end lost"))
		}
	case 9: // also while the instance is paused
		f.clocks[i] += time.Duration(rapid.IntRange(0, 45000).Draw(f.rt, "ms")) * time.Millisecond
	case 10:
		f.paused[i] = !f.paused[i]
	case 11:
		f.fault(i)
	}
}

func (f *fleet) fault(i int) {
	j := rapid.IntRange(0, 2).Draw(f.rt, "peer")
	switch rapid.IntRange(0, 2).Draw(f.rt, "fault") {
	case 0:
		f.restart(i) // requests that it started may still reach the target
	case 1:
		f.partitioned[i][j] = !f.partitioned[i][j]
	case 2:
		takeRandom(f.rt, &f.messages) // a lost message
	}
}

// Guards against a second run of a ticket, and against a refusal that promises
// "not run" for a ticket that has run or runs later, under restarts, pauses,
// partitions and lost or reordered messages.
func TestAtMostOneRunUnderFaults(t *testing.T) {
	var runs, refusals int
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleet{rt: rt, ledgers: make([]*Ledger, 3), clocks: make([]time.Duration, 3), paused: make([]bool, 3),
			runs: map[string]int{}, notRun: map[string]bool{}}
		for i := range f.ledgers {
			f.restart(i)
		}
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			f.step()
			for _, ticket := range f.tickets {
				if n := f.runs[ticket]; n > 1 || n > 0 && f.notRun[ticket] {
					rt.Fatalf("ticket %s ran %d times, refused as not run: %v", ticket, n, f.notRun[ticket])
				}
			}
		}
		runs, refusals = runs+len(f.runs), refusals+len(f.notRun)
	})
	if runs == 0 || refusals == 0 {
		t.Fatalf("the schedules covered %d tickets that ran and %d that were refused", runs, refusals)
	}
}
