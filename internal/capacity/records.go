package capacity

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/dogwoodroute/dogwoodroute/once"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// measureRecords measures the memory of tickets and of the time line, and the
// cost of encoding the time line.
func measureRecords(r *run) error {
	for _, tickets := range []int{10_000, 20_000, 40_000, 60_000} {
		for _, answered := range []bool{false, true} {
			bytes, err := ticketMemory(tickets, answered)
			if err != nil {
				return err
			}
			cost := "used tickets without recorded answers"
			if answered {
				cost = "used tickets with recorded answers of 100 bytes"
			}
			r.add(ComponentMemory, cost, "B", "tickets", tickets, bytes)
		}
	}
	for _, events := range []int{4000, 8000, 16_000} {
		bytes, encoded, u := eventMemory(events)
		r.add(ComponentMemory, "time line", "B", "events", events, bytes)
		r.add(ComponentOperators, "time line as JSON", "B", "events", events, encoded)
		r.add(ComponentOperators, "processor time to select and encode the time line", "µs", "events", events, u.cpuMicros)
	}
	return r.ctx.Err()
}

func ticketMemory(tickets int, answered bool) (float64, error) {
	before := memoryInUse()
	l, err := once.NewLedger(once.Options{}, rand.Reader)
	if err != nil {
		return 0, err
	}
	for i := range tickets {
		result := once.Result{}
		if answered {
			result = once.Result{Kind: once.ResultAnswered, Response: &once.Response{Status: 200, Body: make([]byte, 100)}}
		}
		now := time.Duration(i) * time.Second / 1550
		l.Finish(now, l.Begin(now, l.Issue(now, 1)[0], once.Fingerprint{}).Serial, result)
	}
	bytes := memoryInUse() - before
	runtime.KeepAlive(l)
	return bytes, nil
}

// eventMemory returns the memory of a time line with a number of events, its size
// as JSON, and the cost to select and encode it. Sizes are in bytes.
func eventMemory(events int) (bytes, encoded float64, cost usage) {
	before := memoryInUse()
	recorder := timeline.NewRecorder(timeline.Options{Instance: "i00", Incarnation: fmt.Sprintf("%032x", 1)})
	for i := range events {
		recorder.RecordRequest(timeline.Event{Kind: timeline.RequestSent, Request: fmt.Sprintf("%026d", i),
			Target: "service-00-000", Attempt: 1})
	}
	bytes = memoryInUse() - before
	cost = measure(func() {
		text, err := json.Marshal(recorder.Select(timeline.Filter{}))
		if err != nil {
			panic(err) // impossible: a time line always encodes
		}
		encoded = float64(len(text))
	})
	return bytes, encoded, cost
}
