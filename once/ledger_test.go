package once

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1000") // a default, which the command line can override
	goleak.VerifyTestMain(m)
}

func newLedger(seed byte, o Options) *Ledger {
	l, err := NewLedger(o, rand.NewChaCha8([32]byte{seed}))
	if err != nil {
		panic(err)
	}
	return l
}

var recordedResponse = &Response{Status: http.StatusCreated, Header: http.Header{"Etag": {"1"}}, Body: []byte("recorded")}

// Guards against a faulty ticket that is reported with another fault, which may
// lead to a refusal that wrongly promises that the request was not run.
func TestParseTellsFaultsApart(t *testing.T) {
	is := is.New(t)
	l, other := newLedger(1, Options{}), newLedger(2, Options{})
	text := l.Issue(0, 1)[0]
	parse := func(now time.Duration, text string) Fault { _, f := l.Parse(now, text); return f }
	is.Equal(parse(0, text), FaultNone)
	is.Equal(parse(0, text[1:]), FaultMalformed)
	is.Equal(parse(0, text[:30]+"\n"+text[31:]), FaultMalformed)
	is.Equal(parse(0, other.Issue(0, 1)[0]), FaultForeign)
	forged, _ := Decode(text)
	forged.Expiry += time.Hour
	is.Equal(parse(0, forged.String()), FaultForged)
	is.Equal(parse(30*time.Second, text), FaultExpired)
	is.Equal(parse(0, text), FaultExpired) // the clock does not go back
	is.Equal(len(l.Issue(0, 1000)), MaxIssue)
	read, err := ParseIncarnation(l.Incarnation().String())
	is.NoErr(err)
	is.Equal(read, l.Incarnation())
}

// Guards against two different texts that decode to one ticket, and against panics
// of the parser.
func FuzzDecode(f *testing.F) {
	f.Add(newLedger(1, Options{}).Issue(0, 1)[0])
	f.Add(ticketPrefix)
	f.Fuzz(func(t *testing.T, text string) {
		if ticket, ok := Decode(text); ok && ticket.String() != text {
			t.Fatalf("%q decodes to the ticket of %q", text, ticket.String())
		}
	})
}

// Guards against a second run of a ticket, and against the response of another
// request.
func TestLedgerStates(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, Options{MaxRunning: 1, MaxResponseBytes: 100, MaxTotalResponseBytes: 600})
	a, b := Fingerprint{1}, Fingerprint{2}
	tickets := l.Issue(0, 8)
	begin := func(i int, f Fingerprint) State { return l.Begin(0, tickets[i], f).State }
	finish := func(i uint64, r Result) { l.Finish(0, i, r) }

	is.Equal(begin(0, a), StateStarted)
	is.Equal(begin(0, a), StateRunning)
	is.Equal(begin(0, b), StateMismatch)
	is.Equal(begin(1, a), StateFull)
	is.Equal(begin(1, a), StateVoided) // the refusal promised "not run": it must never start
	finish(0, Result{Kind: ResultAnswered, Response: recordedResponse})
	is.Equal(l.Begin(0, tickets[0], a).Response, recordedResponse)
	is.Equal(begin(0, b), StateMismatch)
	is.Equal(l.Settle(0, tickets[0]).Fingerprint, a)

	is.Equal(begin(2, a), StateStarted)
	finish(2, Result{Kind: ResultNotRun})
	is.Equal(begin(2, a), StateNotRun)
	is.Equal(begin(3, a), StateStarted)
	finish(3, Result{Kind: ResultAnswered, Response: &Response{Body: make([]byte, 101)}})
	is.Equal(begin(3, a), StateMayHaveRun) // too large to keep

	for i := uint64(4); i < 6; i++ { // two more responses evict the first
		is.Equal(begin(int(i), a), StateStarted)
		finish(i, Result{Kind: ResultAnswered, Response: recordedResponse})
	}
	is.Equal(begin(0, a), StateMayHaveRun)
	is.Equal(begin(5, a), StateAnswered)
	is.Equal(l.Settle(0, tickets[6]).State, StateVoided)
	is.Equal(l.Begin(30*time.Second, tickets[7], a).State, StateExpired)
	is.Equal(l.Begin(30*time.Second, tickets[6], a).State, StateVoided)
	l.Issue(50*time.Second, MaxIssue)
	for range 8 {
		l.Issue(50*time.Second, MaxIssue) // fill the first block
	}
	is.Equal(l.Begin(91*time.Second, tickets[6], a).State, StateMayHaveRun) // a forgotten ticket may have run
}

// Guards against refusals that promise "not run" for a request that may have run.
func TestRefusalsPromiseOnlyWhatIsKnown(t *testing.T) {
	is := is.New(t)
	neverRan := map[State]bool{StateNotRun: true, StateVoided: true, StateExpired: true, StateFull: true}
	for state := StateUnknown; state <= StateFull+1; state++ {
		for fault := FaultNone; fault <= FaultExpired+1; fault++ {
			notRun := neverRan[state] || state == StateInvalid && (fault == FaultMalformed || fault == FaultForged)
			is.Equal(refuse(state, fault).Execution == refusal.NotRun, notRun) // state and fault
		}
	}
}

// BenchmarkRememberedTickets measures the memory of the tickets of 40 s at
// 1,550 requests/s.
func BenchmarkRememberedTickets(b *testing.B) {
	for _, test := range []struct {
		name string
		r    Result
	}{{"unanswered", Result{}}, {"answered", Result{Kind: ResultAnswered, Response: recordedResponse}}} {
		b.Run(test.name, func(b *testing.B) { benchmarkTicketMemory(b, test.r) })
	}
}

func benchmarkTicketMemory(b *testing.B, r Result) {
	const perSecond, seconds = 1550, 40
	for b.Loop() {
		before := heapBytes()
		l := newLedger(1, Options{})
		for i := range perSecond * seconds {
			now := time.Duration(i) * time.Second / perSecond
			l.Finish(now, l.Begin(now, l.Issue(now, 1)[0], Fingerprint{}).Serial, r)
		}
		b.ReportMetric(float64(heapBytes()-before)/(perSecond*seconds), "heap-B/ticket")
		b.ReportMetric(float64(l.usages.next-l.usages.first*blockSerials), "tickets")
		b.ReportMetric(float64(len(l.responses.order)), "answers")
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
