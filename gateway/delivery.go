package gateway

import (
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/segments"
)

const (
	// deliveryPieceBytes is the size of the pieces in which a response is written. Progress
	// is seen piece by piece; larger ones would make callers look slow that are not.
	deliveryPieceBytes = 8 << 10
	// stallTimeout is the time after which a caller that has taken no piece loses its
	// connection. A caller that reads 1 kB/s takes one in 8 s.
	stallTimeout = 30 * time.Second
	// slowAfter is the time for one piece from which a caller counts as slow. The caller of
	// a short response has taken it long before, also over a slow link.
	slowAfter = time.Second
	// callerShare is the part of the memory limit up to which one caller may hold several
	// responses while others need memory.
	callerShare = 0.25
)

// deliveryEnd is how a delivery ended before its end, as written to logs and metrics.
type deliveryEnd string

// Ends of deliveries.
const (
	deliveryCut     deliveryEnd = "cut"     // its memory was needed for others
	deliveryStalled deliveryEnd = "stalled" // the caller took nothing for stallTimeout
	deliveryFailed  deliveryEnd = "failed"  // the caller closed the connection, or it broke
)

// delivery is a response on its way to a caller. The lock of the memory limit guards it.
type delivery struct {
	hold           *memoryHold
	caller         string
	began          time.Duration
	lastProgress   time.Duration
	written        int64
	cut            bool
	setWriteExpiry func(time.Time)
}

// errCutForMemory is the error of a delivery that was cut.
var errCutForMemory = errors.New("response cut: the caller reads slowly and its memory is needed for others")

// slow reports whether the caller has not taken the present piece for slowAfter.
func (d *delivery) slow(now time.Duration) bool { return now-d.lastProgress >= slowAfter }

// rate returns the bytes per second that the caller has taken so far.
func (d *delivery) rate(now time.Duration) float64 {
	return float64(d.written) / max(time.Millisecond, now-d.began).Seconds()
}

// deliver writes the body of a response, and gives its memory back as the caller takes it. It
// returns how the delivery ended and the error if the caller has not got all of it; the
// connection then cannot be used any more, and the response does not look complete, since its
// head states the length.
func (x *exchange) deliver(w http.ResponseWriter, resp *response) (deliveryEnd, error) {
	x.memory.keepOnly(resp.memory)
	x.body = segments.Buffer{} // no attempt is made any more
	d := &delivery{hold: &x.memory, caller: x.callerAddress(), setWriteExpiry: func(t time.Time) {
		_ = x.controller.SetWriteDeadline(t) // fails only if the connection is closed, and then the write does
	}}
	l := x.gateway.memory
	l.beginDelivery(d)
	err := resp.body.Drain(deliveryPieceBytes, func(piece []byte) error {
		if !l.mayWrite(d) {
			return errCutForMemory
		}
		n, err := w.Write(piece)
		l.progress(d, int64(n))
		return err
	}, func(freed int64) { l.giveBack(resp.memory, freed) })
	if err == nil && l.mayWrite(d) {
		err = x.controller.Flush() // or net/http does so when the memory is given back
	}
	wasCut := l.endDelivery(d)
	switch {
	case err == nil:
		return "", nil
	case wasCut:
		x.logDelivery(d, deliveryCut)
		return deliveryCut, errCutForMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.logDelivery(d, deliveryStalled)
		return deliveryStalled, err
	default:
		return deliveryFailed, err
	}
}

// logDelivery logs a response that its caller has not got to the end because it reads slowly.
func (x *exchange) logDelivery(d *delivery, end deliveryEnd) {
	now := x.gateway.options.Now()
	x.gateway.options.Log.LogAttrs(x.caller.Context(), slog.LevelWarn, "response to a slow caller ended early", slog.String("id", x.id),
		slog.String("end", string(end)), slog.String("caller", d.caller), slog.Int64("written_bytes", d.written),
		slog.Float64("took_ms", millis(now-d.began)), slog.Float64("without_progress_ms", millis(now-d.lastProgress)))
}
