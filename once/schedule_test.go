package once

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// fleet simulates instances, callers and one target under faults.
type fleet struct {
	rt          *rapid.T
	ledgers     []*Ledger
	clocks      []time.Duration
	paused      []bool
	partitioned [3][3]bool // partitioned pairs
	lastSeed    byte
	tickets     []string
	started     []startedRequest // started requests that the target has not seen
	messages    []func()         // delayed, delivered in any order or lost
	runs        map[string]int   // by ticket
	notRun      map[string]bool  // tickets for which "not run" was said
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

// recordRefusal records a refusal as a caller sees it.
func (f *fleet) recordRefusal(ticket string, r *refusal.Refusal) {
	f.notRun[ticket] = f.notRun[ticket] || r.Execution == refusal.NotRun
}

// request delivers one send of a ticket's request to an instance.
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

// resolve asks the owner. The question and the reply travel as messages that
// may be lost, so that the owner's state changes between them.
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

// settleReply is an owner's answer that has arrived.
type settleReply struct {
	settlement Settlement
	err        error
}

func (r settleReply) Settle(context.Context, Incarnation, string) (Settlement, error) {
	return r.settlement, r.err
}

// finishRun carries out a started request at the target, or gives it up before.
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
	case 1, 2, 3: // a send or resend, delayed
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
	case 9: // a paused instance's clock runs or stands still
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
		f.restart(i) // its started requests may still reach the target
	case 1:
		f.partitioned[i][j] = !f.partitioned[i][j]
	case 2:
		takeRandom(f.rt, &f.messages) // lost
	}
}

// Guards against a second run of a ticket, and against "not run" for a ticket
// that ran before or runs afterwards.
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
		t.Fatalf("schedules reached %d runs and %d refusals", runs, refusals)
	}
}
