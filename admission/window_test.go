package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/admission"
)

// Guards against a window that shrinks once per lost attempt instead of once
// per round trip, that grows without need, that shrinks for
// the short queues of a pool below saturation, or that leaves its bounds.
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
	is.Equal(w.Limit(), 160.0) // queues that arise by chance
	sent := now
	now += time.Millisecond
	w.Shed(now, sent)
	shrunk := w.Limit()
	is.True(shrunk < 160)
	w.Shed(now, sent)
	is.Equal(w.Limit(), shrunk) // same round trip
	rounds(20, true, 1)
	is.Equal(w.Limit(), 5.0) // floor for queues
	for range 20 {
		now += time.Millisecond
		w.Shed(now, now)
	}
	is.Equal(w.Limit(), 3.0) // floor
	rounds(20, false, 1)
	is.Equal(w.Limit(), 3.0) // a queue never enlarges it
}
