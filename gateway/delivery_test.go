package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

// pieceWriter is a caller's connection. onWrite is called after each piece, with the bytes so far.
type pieceWriter struct {
	*httptest.ResponseRecorder
	onWrite func(written int)
	written int
	flushes int
}

func (w *pieceWriter) Write(p []byte) (int, error) {
	w.written += len(p)
	w.onWrite(w.written)
	return len(p), nil
}

func (w *pieceWriter) SetWriteDeadline(time.Time) error { return nil }

func (w *pieceWriter) FlushError() error {
	w.flushes++
	return nil
}

// newDelivery returns an exchange and a response with a body of a number of bytes.
func newDelivery(t *testing.T, w *pieceWriter, bytes int) (*exchange, *response) {
	t.Helper()
	l := newMemoryLimit(1<<20, func() time.Duration { return 0 })
	x := &exchange{gateway: &Gateway{options: Options{Now: l.now, Log: slog.New(slog.DiscardHandler)}, memory: l},
		caller: httptest.NewRequest(http.MethodGet, "/", nil), controller: http.NewResponseController(w), memory: memoryHold{limit: l}}
	resp := &response{status: http.StatusOK, body: &segments.Buffer{}, memory: x.memory.newResponseBody("t")}
	if err := resp.body.Fill(strings.NewReader(strings.Repeat("x", bytes)), int64(bytes), int64(bytes), resp.memory.reserve); err != nil {
		t.Fatal(err)
	}
	return x, resp
}

// Guards against a response that is cut after its last piece, whose end is still in the buffers
// of net/http, and that counts as complete.
func TestCutAfterTheLastPieceIsAnError(t *testing.T) {
	is := is.New(t)
	w := &pieceWriter{ResponseRecorder: httptest.NewRecorder()}
	x, resp := newDelivery(t, w, deliveryPieceBytes)
	w.onWrite = func(written int) {
		if written < deliveryPieceBytes {
			return
		}
		x.gateway.memory.mu.Lock()
		defer x.gateway.memory.mu.Unlock()
		x.gateway.memory.cutAll(append([]*delivery(nil), x.gateway.memory.deliveries...))
	}
	end, err := x.deliver(w, resp)
	is.Equal(end, deliveryCut)
	is.True(errors.Is(err, errCutForMemory))
	is.Equal(x.gateway.memory.used, int64(0))
}

// Guards against a caller that loses its response for a lack of progress though memory is not
// short: a caller that reads 1 kB/s wakes a blocked writer only after 30 s or more. The time
// limit for writing is that of the server.
func TestDeliveryKeepsTheTimeLimitOfTheServer(t *testing.T) {
	is := is.New(t)
	l := newMemoryLimit(1<<20, func() time.Duration { return 0 })
	d := &delivery{hold: &memoryHold{limit: l}, caller: "a", setWriteExpiry: func(time.Time) { t.Error("time limit changed") }}
	l.beginDelivery(d)
	is.True(l.mayWrite(d))
	l.progress(d, deliveryPieceBytes)
	is.True(l.mayWrite(d))
	is.True(!l.endDelivery(d))
}

// Guards against processor time for the progress of short responses, which net/http buffers, and
// against a flush of its own for each.
func TestShortBodyIsNoDelivery(t *testing.T) {
	for bytes, short := range map[int]bool{0: true, bufferedBodyBytes: true, bufferedBodyBytes + 1: false} {
		is := is.New(t)
		w := &pieceWriter{ResponseRecorder: httptest.NewRecorder()}
		x, resp := newDelivery(t, w, bytes)
		w.onWrite = func(int) { is.Equal(len(x.gateway.memory.deliveries) == 0, short) }
		end, err := x.deliver(w, resp)
		is.NoErr(err)
		is.Equal(end, deliveryEnd(""))
		is.Equal(w.written, bytes)
		is.Equal(w.flushes == 0, short)
	}
}
