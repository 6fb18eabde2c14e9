package fleet_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/fleet"
	"github.com/dogwoodroute/dogwoodroute/poison"
	"github.com/dogwoodroute/dogwoodroute/quarantine"
)

// Guards against two tasks that wait for each other: the task that makes failure
// reports must not wait for a fleet task whose queue is full, since that may wait
// for it. Here the fleet task does not run yet, so nothing empties its queue.
func TestReportFailureDoesNotWait(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	begin := time.Now()
	task := fleet.New(fleet.Options{Listener: listener, IP: netip.MustParseAddr("127.0.0.1"), Domains: []string{"a"},
		Source: &source{store: &store{}}, Decoder: decoder{}, Log: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Since(begin) }})
	const moreThanTheQueueHolds = 1000
	for n := range moreThanTheQueueHolds {
		task.ReportFailure(quarantine.FailureReport{Request: poison.Fingerprint{byte(n), byte(n >> 8)}}, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(task.Run(ctx)) // releases the reports
}
