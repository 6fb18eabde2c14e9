package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// spikeLoad returns the offered load as a share of the capacity: 0.8, but 3
// between 3 s and 6 s.
func spikeLoad(t time.Duration) float64 {
	if t >= 3*time.Second && t < 6*time.Second {
		return 3
	}
	return 0.8
}

// Guards against a drop of goodput at three times the capacity, against lost high
// priority requests there, and against slow recovery, both for a single instance
// and for 20 instances that share no state.
func TestOverloadSpike(t *testing.T) {
	for _, instances := range []int{1, 20} {
		for _, queue := range []int{2, 4} {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprintf("%d instances/target queue %d/seed %d", instances, queue, seed), func(t *testing.T) {
					t.Parallel()
					s := &simulation{instances: instances, targets: 16, slots: 5, queue: queue, length: 9 * time.Second, seed: seed, load: spikeLoad}
					s.run()
					checkSpike(t, s)
				})
			}
		}
	}
}

func checkSpike(t *testing.T, s *simulation) {
	is := is.New(t)
	during, after := s.summarize(3*time.Second, 6*time.Second), s.summarize(8*time.Second, 9*time.Second)
	goodput := float64(during.accepted) / s.capacity(3*time.Second)
	t.Logf("spike: %v, goodput %.3f; after 2 s: %v", during, goodput, after)
	is.True(goodput >= 0.95)                                            // goodput holds
	is.True(float64(during.highAccepted) >= 0.999*float64(during.high)) // high priority is served first
	is.True(float64(after.accepted) >= 0.995*float64(after.arrived))    // recovered
	for _, scheduler := range s.schedulers {
		c := scheduler.Snapshot(s.now).Counters
		is.True(10*(c.Retries+c.Hedges) <= c.Sends-c.Retries-c.Hedges+10) // retry budget
		is.Equal(c.Arrivals, c.Accepted+c.Refused.Total())                // every request is answered
	}
}

// Guards against decisions that depend on anything but the events and the seed:
// two runs with the same seed must give the same actions.
func TestSameSeedSameDecisions(t *testing.T) {
	is := is.New(t)
	var logs [2]string
	for i := range logs {
		s := &simulation{instances: 3, targets: 4, slots: 4, queue: 2, length: time.Second, seed: 7, load: spikeLoad, recordActions: true}
		s.run()
		logs[i] = s.actionLog.String()
	}
	is.True(len(logs[0]) > 0)
	is.True(logs[0] == logs[1])
}
