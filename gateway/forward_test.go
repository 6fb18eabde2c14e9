package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/catalog"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Guards against requests that targets reject and that count as started only, so that the
// level is too low where targets shed.
func TestRequestThatTargetsRejectCountsAsRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  attemptOutcome
		final    *response
		rejected bool
	}{
		{"no room after rejection", attemptRejected, newRefusal(outcomeNoRoom, 0), true},
		{"late after rejection", attemptRejected, newRefusal(outcomeLate, 0), true},
		{"stopped after rejection", attemptRejected, newRefusal(outcomeStopped, 0), false},
		{"may have run", attemptBroken, newFailure(502, outcomeBroken), false},
		{"not sent", attemptNotSent, newRefusal(outcomeNoRoom, 0), false},
		{"caller gone", attemptRejected, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := runScheduler(t, func() time.Duration { return time.Second })
			target := &catalog.Target{ID: "a", FailureDomain: "z", Service: "s", Slots: 4}
			g.scheduler.setTargets(map[string][]*catalog.Target{"s": {target}})
			now := g.options.Now()
			f := &forwarder{exchange: &exchange{gateway: g}, ctx: t.Context()}
			f.request = placement.Request{Route: &catalog.Route{Name: "r", Objective: time.Second}, Service: "s", Arrived: now, Deadline: now + time.Hour}
			reserved, err := g.scheduler.choose(t.Context(), &f.request, []placement.Report{{Target: target, Load: placement.Load{Slots: 4, Slowness: 1}}}, firstSend)
			is.NoErr(err)
			is.True(reserved.ok)
			f.attempts = []*attempt{{reservation: reserved, finished: true, attemptEnd: attemptEnd{outcome: c.outcome}}}
			f.recordRefusal(c.final)
			started, refused := demandSeen(t, g)
			is.Equal(refused > 0, c.rejected)
			is.Equal(started == 0, c.rejected)
		})
	}
}
