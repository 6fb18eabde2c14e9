package poison

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/balancer"
)

// BenchmarkRequest measures the cost of one unrestricted request, with an empty
// table of records and with one record of another request.
func BenchmarkRequest(b *testing.B) {
	for _, known := range []string{"no record", "one record"} {
		b.Run(known, func(b *testing.B) {
			task := NewTask(TaskOptions{Random: rand.New(rand.NewPCG(1, 1)), Now: func() time.Duration { return 0 }})
			ctx, stop := context.WithCancel(context.Background())
			defer func() { stop(); <-task.loop.Done() }()
			go task.Run(ctx)
			if known == "one record" {
				_ = task.Merge(ctx, Notice{Fingerprint: crasher, ID: 1, State: StateSuspect, Expires: time.Minute})
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = task.Admit(ctx, Fingerprint{}, "t")
				a := Attempt{ID: 1, Target: "t"}
				task.Started(a)
				task.Ended(ctx, a, balancer.OutcomeOK)
			}
		})
	}
}

// BenchmarkFingerprint measures the computation of the fingerprint of a request
// with a body of 1 KiB.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		h := NewHasher("route", "POST", "/path?query")
		_, _ = h.Write(body)
		_ = h.Sum()
	}
}
