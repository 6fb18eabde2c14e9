package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admission"
)

// Guards against a window that shrinks once per shed attempt instead of once per
// round trip, grows although no request waits for it, shrinks because of the short
// queues of a pool below saturation, or leaves its bounds.
func TestWindow(t *testing.T) {
	is := is.New(t)
	w := admission.NewWindow(80, 20)
	is.Equal(w.Limit(), 4.0)
	now := time.Duration(0)
	rounds := func(n int, limited bool, queue float64) {
		for range n * 200 {
			now += time.Millisecond
			if limited {
				w.MarkLimited()
			}
			w.Report(now, now, queue)
		}
	}
	rounds(1, false, 0)
	is.Equal(w.Limit(), 4.0) // not limited by the window
	rounds(3, true, 0)
	is.Equal(w.Limit(), 160.0) // twice the slots
	rounds(20, true, 0.5)
	is.Equal(w.Limit(), 160.0) // short queues do not count
	sent := now
	now += time.Millisecond
	w.Shed(now, sent)
	shrunk := w.Limit()
	is.True(shrunk < 160)
	w.Shed(now, sent)
	is.Equal(w.Limit(), shrunk) // same round trip
	rounds(20, true, 1)
	is.Equal(w.Limit(), 5.0) // floor for shrinking because of queues
	for range 20 {
		now += time.Millisecond
		w.Shed(now, now)
	}
	is.Equal(w.Limit(), 3.0) // floor
	rounds(20, false, 1)
	is.Equal(w.Limit(), 3.0) // queues do not raise it to their floor
}
