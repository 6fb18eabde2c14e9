package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

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
