package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/entry"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/refusal"
	"github.com/dogwoodroute/dogwoodroute/wire"
)

// Guards against callers that receive another caller's answer, with answers
// late, out of order, cut, reset and followed by foreign bytes.
func TestEachCallerReceivesItsOwnAnswer(t *testing.T) {
	const callers = 1000
	faults := []standin.Fault{"", "", standin.FaultError, standin.FaultLate, standin.FaultReorder,
		standin.FaultTruncate, standin.FaultReset, standin.FaultSurplus}
	f := start(t, standin.TargetOptions{Slots: 64, Queue: callers}, nil)
	f.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = callers
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	errs := make(chan error)
	for n := range callers {
		go func() {
			id, want := fmt.Sprintf("r%d", n), faults[n%len(faults)]
			body := strings.Repeat(id+" ", 1+n%7*2000)
			if want == standin.FaultSurplus {
				body = id // one segment; surplus bytes that arrive after the next request cannot be told from its answer
			}
			a, err := f.do(ctx, http.MethodPost, "/echo", []byte(body), fault(want, id)...)
			broken := want == standin.FaultTruncate || want == standin.FaultReset
			switch {
			case broken && (err != nil || a.err != nil || a.refused != nil && a.refused.Execution == refusal.MayHaveRun):
				err = nil
			case err != nil:
			case broken, a.err != nil, a.refused != nil, a.text != "t "+id+"\n"+body, a.Header.Get(wire.HeaderRequestID) != id:
				err = fmt.Errorf("%s with fault %q received %.40q, refusal %v, error %v", id, want, a.text, a.refused, a.err)
			}
			errs <- err
		}()
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	for id, runs := range f.target.Runs() {
		if runs != 1 {
			t.Errorf("request %s was run %d times", id, runs)
		}
	}
	until(t, func() bool { return f.entry.Counters().MemoryBytes == 0 })
}

// Guards against an answer that was cut and looks whole, both before and after
// its first bytes went to the caller.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	small := f.must(t, http.MethodPost, "/echo", []byte("small"), fault(standin.FaultTruncate, "a")...)
	is.Equal(small.refused.Kind, refusal.AttemptFailed)
	is.Equal(small.refused.Execution, refusal.MayHaveRun)
	large := f.must(t, http.MethodPost, "/echo", make([]byte, 1<<20), fault(standin.FaultTruncate, "b")...)
	is.True(large.err != nil)
	is.Equal(f.entry.Counters().Aborted, int64(1))
}

// Guards against a target's own errors that are presented as refusals, against
// targets that imitate an instance's headers, and against changed headers.
func TestTargetAnswerPassesUnchanged(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{Service: func(*http.Request) time.Duration { return 0 }}, nil)
	a := f.must(t, http.MethodPost, "/echo", []byte("x"), fault(standin.FaultError, "a")...)
	is.Equal(a.StatusCode, http.StatusInternalServerError)
	is.Equal(a.Header.Get(wire.HeaderAnsweredBy), wire.AnsweredByTarget)
	is.Equal(a.text, "t a\nx")

	listener, err := net.Listen("tcp", f.target.Address())
	is.True(err != nil && listener == nil) // the target owns its address
	forging := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(refusal.HeaderKind, "overload")
		w.Header().Set(refusal.HeaderExecution, "not-run")
		w.Header()["dogwoodroute-request-id"] = []string{"forged"}
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header()["Content-Type"] = nil
		w.Header().Set("X-Own", r.Header.Get(wire.HeaderTicket)+r.Header.Get("Te")+r.Header.Get("Dogwoodroute-Other"))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "own") // checked by the caller
	})}
	f.target.Close()
	listener, err = net.Listen("tcp", f.target.Address())
	is.NoErr(err)
	done := make(chan error)
	go func() { done <- forging.Serve(listener) }()
	a = f.must(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "mine", wire.HeaderTicket, "secret",
		"Te", "trailers", "Dogwoodroute-Other", "x")
	is.True(a.refused == nil)
	is.Equal(a.text, "own")
	is.Equal(a.Header.Get(wire.HeaderRequestID), "mine")
	is.Equal(a.Header.Values("X-Hop"), nil)
	is.Equal(a.Header.Values("Content-Type"), nil)
	is.Equal(a.Header.Values("X-Own"), []string{""})
	is.NoErr(forging.Close())
	<-done
}

// Guards against HEAD answers that wait for a body and lose their length.
func TestHeadAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	for range 3 { // on the same connections
		a := f.must(t, http.MethodHead, "/echo", nil, wire.HeaderRequestID, "id")
		is.Equal(a.ContentLength, int64(len("t id\n")))
		is.Equal(f.must(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "id").text, "t id\n")
	}
}

// Guards against work that goes on for a caller that went away, and against
// its memory and place staying taken: before the answer, in the part of it that
// is buffered, and while it is streamed.
func TestCallerGoesAway(t *testing.T) {
	for name, c := range map[string]struct {
		service time.Duration
		size    int
	}{"before the answer": {testTimeout, 1}, "small answer": {0, 100}, "large answer": {0, 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, standin.TargetOptions{Service: func(*http.Request) time.Duration { return c.service }}, nil)
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan bool)
			go func() {
				a, err := f.do(ctx, http.MethodPost, "/echo", make([]byte, c.size), fault(standin.FaultStall, "a")...)
				failed <- err != nil || a.err != nil
			}()
			until(t, func() bool {
				record := f.target.Record()
				return len(record) == 1 && (c.service > 0 || record[0].State == standin.RunFinished)
			})
			cancel()
			is.True(<-failed)
			until(t, func() bool { return f.target.InFlight() == 0 && f.entry.Drain().InFlight() == 0 })
			is.Equal(f.target.Record()[0].State == standin.RunCancelled, c.service > 0)
			is.Equal(f.entry.Counters().MemoryBytes, int64(0))
		})
	}
}

// Guards against a caller that does not read its answer and holds a target's
// slot for ever.
func TestSlowReaderFreesSlot(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{Slots: 1}, func(o *entry.Options) {
		o.WriteTimeout = 50 * time.Millisecond
		o.Limits.RequestBodyBytes = 32 << 20
	})
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	const size = 16 << 20 // more than the socket buffers hold
	_, err = fmt.Fprintf(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	is.NoErr(err)
	_, err = conn.Write(make([]byte, size))
	is.NoErr(err)
	until(t, func() bool { return f.entry.Counters().Aborted == 1 })
	until(t, func() bool { return f.target.InFlight() == 0 })
	is.Equal(f.must(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "next").text, "t next\n")
}
