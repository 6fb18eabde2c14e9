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

// Guards against a caller that receives another caller's response when target
// responses are late, out of order, truncated, reset or followed by extra bytes.
func TestEachCallerReceivesItsOwnAnswer(t *testing.T) {
	const callers = 1000
	faults := []standin.Fault{"", "", standin.FaultError, standin.FaultLate, standin.FaultReorder,
		standin.FaultTruncate, standin.FaultReset, standin.FaultUnexpectedData}
	f := start(t, standin.TargetOptions{Slots: 64, Queue: callers}, nil)
	f.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = callers
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	errs := make(chan error)
	for n := range callers {
		go func() {
			id, want := fmt.Sprintf("r%d", n), faults[n%len(faults)]
			body := strings.Repeat(id+" ", 1+n%7*2000)
			if want == standin.FaultUnexpectedData {
				body = id // one segment: extra bytes that arrive after the next request was sent look like its response
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
	for id, runs := range f.target.RunCounts() {
		if runs != 1 {
			t.Errorf("request %s was run %d times", id, runs)
		}
	}
	waitUntil(t, func() bool { return f.entry.Counters().MemoryBytes == 0 })
}

// Guards against a truncated response that looks complete, both before and after
// its first bytes were sent to the caller.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	small := f.mustDo(t, http.MethodPost, "/echo", []byte("small"), fault(standin.FaultTruncate, "a")...)
	is.Equal(small.refused.Kind, refusal.AttemptFailed)
	is.Equal(small.refused.Execution, refusal.MayHaveRun)
	large := f.mustDo(t, http.MethodPost, "/echo", make([]byte, 1<<20), fault(standin.FaultTruncate, "b")...)
	is.True(large.err != nil)
	is.Equal(f.entry.Counters().Aborted, int64(1))
}

// Guards against presenting a target's own errors as refusals, against targets that
// forge an instance's headers, and against changed end-to-end headers.
func TestTargetAnswerPassesUnchanged(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{ServiceTime: func(*http.Request) time.Duration { return 0 }}, nil)
	a := f.mustDo(t, http.MethodPost, "/echo", []byte("x"), fault(standin.FaultError, "a")...)
	is.Equal(a.StatusCode, http.StatusInternalServerError)
	is.Equal(a.Header.Get(wire.HeaderAnsweredBy), wire.AnsweredByTarget)
	is.Equal(a.text, "t a\nx")

	listener, err := net.Listen("tcp", f.target.Address())
	is.True(err != nil && listener == nil) // the target is listening on its address
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
	a = f.mustDo(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "mine", wire.HeaderTicket, "secret",
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

// Guards against HEAD responses that wait for a body or lose their Content-Length.
func TestHeadAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{}, nil)
	for range 3 { // on the same connections
		a := f.mustDo(t, http.MethodHead, "/echo", nil, wire.HeaderRequestID, "id")
		is.Equal(a.ContentLength, int64(len("t id\n")))
		is.Equal(f.mustDo(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "id").text, "t id\n")
	}
}

// Guards against continuing work for a caller that has disconnected, and against
// leaking its memory and its place in the request limit. The caller disconnects
// before the response, while it is buffered, and while it is streamed.
func TestCallerGoesAway(t *testing.T) {
	for name, c := range map[string]struct {
		service time.Duration
		size    int
	}{"before the response": {testTimeout, 1}, "small response": {0, 100}, "large response": {0, 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, standin.TargetOptions{ServiceTime: func(*http.Request) time.Duration { return c.service }}, nil)
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan bool)
			go func() {
				a, err := f.do(ctx, http.MethodPost, "/echo", make([]byte, c.size), fault(standin.FaultStall, "a")...)
				failed <- err != nil || a.err != nil
			}()
			waitUntil(t, func() bool {
				record := f.target.RecordedRuns()
				return len(record) == 1 && (c.service > 0 || record[0].State == standin.RunFinished)
			})
			cancel()
			is.True(<-failed)
			waitUntil(t, func() bool { return f.target.InFlight() == 0 && f.entry.Drain().InFlight() == 0 })
			is.Equal(f.target.RecordedRuns()[0].State == standin.RunCancelled, c.service > 0)
			is.Equal(f.entry.Counters().MemoryBytes, int64(0))
		})
	}
}

// Guards against a caller that does not read its response and occupies a target's
// slot indefinitely.
func TestSlowReaderFreesSlot(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.TargetOptions{Slots: 1}, func(o *entry.Options) {
		o.WriteTimeout = 50 * time.Millisecond
		o.Limits.RequestBodyBytes = 32 << 20
	})
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	const size = 16 << 20 // larger than the socket buffers
	_, err = fmt.Fprintf(conn, "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	is.NoErr(err)
	_, err = conn.Write(make([]byte, size))
	is.NoErr(err)
	waitUntil(t, func() bool { return f.entry.Counters().Aborted == 1 })
	waitUntil(t, func() bool { return f.target.InFlight() == 0 })
	is.Equal(f.mustDo(t, http.MethodGet, "/echo", nil, wire.HeaderRequestID, "next").text, "t next\n")
}
