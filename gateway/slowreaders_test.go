package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// deliverySpec describes a response that is written to a caller.
type deliverySpec struct {
	caller         string
	bytes, written int64
	began          time.Duration
}

// Guards against a new request that finds no memory since slow callers hold it, and against a
// cut of the wrong response: one that a caller takes at an ordinary rate is kept. The load is
// responses of 200 KiB or less in a memory of 1 MiB.
func TestSlowestDeliveryIsCutFirst(t *testing.T) {
	const now = 10 * time.Second
	for name, c := range map[string]struct {
		deliveries []deliverySpec
		cut        int // index of the one that is cut, -1 if none
	}{
		"slowest": {cut: 1, deliveries: []deliverySpec{
			{"a", 200 << 10, 40 << 10, 0}, {"b", 200 << 10, 10 << 10, 0}, {"c", 200 << 10, 50 << 10, 0}, {"d", 200 << 10, 60 << 10, 0}}},
		"several of one caller first": {cut: 2, deliveries: []deliverySpec{
			{"a", 200 << 10, 1 << 10, 0}, {"b", 200 << 10, 60 << 10, 0}, {"b", 200 << 10, 50 << 10, 0}, {"c", 200 << 10, 2 << 10, 0}}},
		"progress": {cut: 3, deliveries: []deliverySpec{
			{"a", 200 << 10, 170 << 10, 0}, {"b", 200 << 10, 8 << 10, now - slowAfter/2}, {"c", 200 << 10, 180 << 10, 0}, {"d", 200 << 10, 90 << 10, 0}}},
		"none is slow": {cut: -1, deliveries: []deliverySpec{
			{"a", 200 << 10, 0, now}, {"b", 200 << 10, 0, now}, {"c", 200 << 10, 0, now}, {"d", 200 << 10, 0, now}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newMemoryLimit(1<<20, func() time.Duration { return now })
			var list []*delivery
			var expiries int
			for _, spec := range c.deliveries {
				d := &delivery{hold: &memoryHold{limit: l}, caller: spec.caller, setWriteExpiry: func(time.Time) { expiries++ }}
				is.True(d.hold.reserve(spec.bytes))
				l.beginDelivery(d)
				d.began, d.written = spec.began, spec.written
				list = append(list, d)
			}
			another := &memoryHold{limit: l}
			is.Equal(another.reserve(300<<10), c.cut >= 0)
			for i, d := range list {
				is.Equal(l.endDelivery(d), i == c.cut)
				d.hold.release()
			}
			is.Equal(l.used, another.bytes) // nothing is given back twice
			is.Equal(len(l.deliveries), 0)
			is.Equal(expiries == 1, c.cut >= 0) // only a cut changes a time limit of the connection
			is.True(expiries <= 1)
		})
	}
}

// Guards against long responses to slow callers that leave no room for others.
func TestLongResponsesToSlowCallersMakeRoom(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	l := newMemoryLimit(1<<20, func() time.Duration { return now }) // 230 KB for long responses
	slow := &delivery{hold: &memoryHold{limit: l}, caller: "a", setWriteExpiry: func(time.Time) {}}
	is.True(slow.hold.newResponseBody("t").reserve(200 << 10))
	l.beginDelivery(slow)
	other := &memoryHold{limit: l}
	is.True(!l.responseFits(0, 250<<10))
	is.True(!other.newResponseBody("u").reserve(250 << 10))
	now = slowAfter
	is.True(other.newResponseBody("u").reserve(250 << 10))
	is.True(slow.cut)
	is.Equal(l.used, other.bytes)
}

// Guards against responses that are cut though the reservation fails all the same, and against
// cuts by a question that reserves nothing. The load is two responses of 100 KiB to slow callers.
func TestNothingIsCutInVain(t *testing.T) {
	for name, c := range map[string]struct {
		try func(l *memoryLimit, other *memoryHold) bool
		ok  bool
	}{
		"more than the limit":          {try: func(_ *memoryLimit, other *memoryHold) bool { return other.reserve(2 << 20) }},
		"more than all slow ones hold": {try: func(_ *memoryLimit, other *memoryHold) bool { return other.reserve(900 << 10) }},
		"long body beyond its limit":   {try: func(_ *memoryLimit, other *memoryHold) bool { return other.newResponseBody("u").reserve(400 << 10) }},
		"share of another owner": {try: func(_ *memoryLimit, other *memoryHold) bool {
			// The target "u" has used most of its own share, of which no slow caller holds a part.
			return other.newResponseBody("u").reserve(shortBodyBytes + 50<<10)
		}},
		"question": {ok: true, try: func(l *memoryLimit, _ *memoryHold) bool { return l.responseFits(0, 200<<10) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			l := newMemoryLimit(1<<20, func() time.Duration { return now }) // 230 KB for long responses
			held := &memoryHold{limit: l}
			if name != "question" {
				is.True(held.newResponseBody("u").reserve(shortBodyBytes + 30<<10))
				is.True(held.reserve(150 << 10))
			}
			var slow []*delivery
			for _, caller := range []string{"a", "b"} {
				d := &delivery{hold: &memoryHold{limit: l}, caller: caller, setWriteExpiry: func(time.Time) {}}
				is.True(d.hold.newResponseBody("t").reserve(shortBodyBytes + 26<<10))
				l.beginDelivery(d)
				slow = append(slow, d)
			}
			now = time.Minute
			is.Equal(c.try(l, &memoryHold{limit: l}), c.ok)
			for _, d := range slow {
				is.True(!d.cut)
			}
		})
	}
}

// Guards against a cut of a caller whose progress the system shows late, or that took nothing
// because this process did not run, and against slow callers that are never seen. The load is a
// response of 400 KiB that is needed for another, with a send buffer of 96 KiB.
func TestSlowIsJudgedByTheRate(t *testing.T) {
	const buffer = 96 << 10
	for name, c := range map[string]struct {
		age     time.Duration
		written int64
		gap     time.Duration // without a tick, before the reservation
		since   time.Duration // the end of the gap
		slow    bool
	}{
		"1 kB/s":                           {age: 20 * time.Second, written: buffer + 20<<10, slow: true},
		"first pieces":                     {age: slowAfter, written: buffer},
		"ordinary, no piece for 2 s":       {age: 10 * time.Second, written: buffer + 200<<10},
		"slow, its buffer has just filled": {age: 20 * time.Second, written: buffer, slow: true},
		"in a gap":                         {age: 20 * time.Second, written: buffer, gap: 5 * time.Second},
		"after a gap":                      {age: 20 * time.Second, written: buffer, gap: 5 * time.Second, since: gapGrace / 2},
		"long after a gap":                 {age: 20 * time.Second, written: buffer, gap: 5 * time.Second, since: gapGrace, slow: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			l := newMemoryLimit(1<<20, func() time.Duration { return now })
			l.sendBuffer, l.gaps.now = buffer, l.now
			d := &delivery{hold: &memoryHold{limit: l}, caller: "a", setWriteExpiry: func(time.Time) {}}
			is.True(d.hold.reserve(400 << 10))
			l.beginDelivery(d)
			l.progress(d, c.written)
			run := func(until time.Duration) {
				for ; now < until; now += gapTick {
					l.gaps.look()
				}
				now = until
				l.gaps.look()
			}
			run(c.age - c.gap - c.since)
			now += c.gap
			if c.since > 0 {
				run(c.age)
			}
			is.Equal((&memoryHold{limit: l}).reserve(800<<10), c.slow)
			is.Equal(d.cut, c.slow)
		})
	}
}
