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
	// deliveryPieceBytes is the size of the pieces in which a response is written. The rate of
	// a caller is known piece by piece.
	deliveryPieceBytes = 8 << 10
	// bufferedBodyBytes is the size up to which net/http takes a body into its buffer when the
	// handler writes it. Such a write does not wait for the caller.
	bufferedBodyBytes = 2 << 10
	// minCallerRate is the rate in bytes per second below which a caller counts as slow when
	// memory is short. Slow callers read about 1 kB/s; a weak mobile link carries more than this.
	minCallerRate = 16 << 10
	// slowAfter is the least age of a delivery whose rate is judged. The caller of a short
	// response has taken it long before, also over a slow link.
	slowAfter = time.Second
	// wakeShare is the part of the send buffer that is free before the system wakes a blocked
	// writer, at most. Until the caller has taken that much, no progress is seen.
	wakeShare = 1.0 / 3
	// callerShare is the part of the memory limit up to which one caller may hold several
	// responses while others need memory.
	callerShare = 0.25
)

// deliveryEnd is how a delivery ended before its end, as written to logs and metrics.
type deliveryEnd string

// Ends of deliveries.
const (
	deliveryCut     deliveryEnd = "cut"     // its memory was needed for others
	deliveryStalled deliveryEnd = "stalled" // the server's time limit for writing ended
	deliveryFailed  deliveryEnd = "failed"  // the caller closed the connection, or it broke
)

// delivery is a response on its way to a caller. The lock of the memory limit guards it.
type delivery struct {
	hold           *memoryHold
	caller         string
	began          time.Duration
	written        int64 // includes what the send buffer of the connection holds
	cut            bool
	setWriteExpiry func(time.Time)
}

// errCutForMemory is the error of a delivery that was cut.
var errCutForMemory = errors.New("response cut: the caller reads slowly and its memory is needed for others")

// slow reports whether the caller takes less than minCallerRate. A delivery is judged when a
// caller of that rate has taken enough for the system to wake the writer.
func (d *delivery) slow(now time.Duration, sendBuffer int64) bool {
	wake := time.Duration(wakeShare * float64(sendBuffer) / minCallerRate * float64(time.Second))
	return now-d.began >= max(slowAfter, wake) && d.rate(now, sendBuffer) < minCallerRate
}

// rate returns the bytes per second that the caller has taken so far: those that were written
// less those that the send buffer may hold.
func (d *delivery) rate(now time.Duration, sendBuffer int64) float64 {
	return float64(max(0, d.written-sendBuffer)) / max(time.Millisecond, now-d.began).Seconds()
}

// deliver writes the body of a response, and gives its memory back as the caller takes it. It
// returns how the delivery ended and the error if the caller has not got all of it; the
// connection then cannot be used any more, and the response does not look complete, since its
// head states the length.
func (x *exchange) deliver(w http.ResponseWriter, resp *response) (deliveryEnd, error) {
	if resp.body.Len() <= bufferedBodyBytes {
		return deliverShort(w, resp)
	}
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
	switch {
	case err != nil:
	case !l.mayWrite(d):
		err = errCutForMemory // the end is still in net/http's buffers
	default:
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

// deliverShort writes a body that fits net/http's buffer. Its caller cannot hold up the write, so
// its progress is not recorded: that would cost processor time on each short response.
func deliverShort(w http.ResponseWriter, resp *response) (deliveryEnd, error) {
	if resp.body.Len() == 0 {
		return "", nil
	}
	if _, err := resp.body.WriteTo(w); err != nil {
		return deliveryFailed, err
	}
	return "", nil
}

// logDelivery logs a response that its caller has not got to the end because it reads slowly.
func (x *exchange) logDelivery(d *delivery, end deliveryEnd) {
	now := x.gateway.options.Now()
	x.gateway.options.Log.LogAttrs(x.caller.Context(), slog.LevelWarn, "response to a slow caller ended early", slog.String("id", x.id),
		slog.String("end", string(end)), slog.String("caller", d.caller), slog.Int64("written_bytes", d.written),
		slog.Float64("took_ms", millis(now-d.began)))
}
