package faults_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/standin"
)

var (
	schedules    = flag.Int("faults.schedules", 4, "number of random schedules")
	scheduleSeed = flag.Uint64("faults.seed", 1, "seed of the first random schedule")
)

// Guards against failures that only come of faults together or twice. Run one
// schedule again with -faults.schedules 1 -faults.seed N.
func TestRandomSchedules(t *testing.T) {
	for n := range uint64(*schedules) {
		seed := *scheduleSeed + n
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}

// Sizes of a schedule.
const (
	scheduleInstances = 4
	scheduleTargets   = 6
	scheduleSteps     = 8
)

// schedule is one random schedule.
type schedule struct {
	*scenario
	random  *rand.Rand
	drained int
	trace   []string
}

func runSchedule(t *testing.T, seed uint64) {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 0)),
		scenario: newScenario(t, scenarioOptions{instances: scheduleInstances, targets: scheduleTargets, domains: []string{"a", "b"}})}
	t.Cleanup(func() { t.Logf("seed %d: %v", seed, s.trace) })
	s.load(12, someFaults)
	for range scheduleSteps {
		s.step()
		s.moreAnswers(20 + s.random.IntN(100))
	}
	s.heal()
	s.verify()
}

// step brings about one fault, or ends one.
func (s *schedule) step() {
	place, target := s.random.IntN(scheduleInstances), s.fleet.Targets()[s.random.IntN(scheduleTargets)]
	steps := []struct {
		name string
		do   func()
	}{
		{"edit", func() { s.fleet.Edit(reword) }},
		{"service", func() { s.fleet.Configuration.SetMode(s.mode()) }},
		{"blind", func() { s.fleet.SetConfigurationBlocked(place, s.random.IntN(2) == 0) }},
		{"partition", func() { bits := s.random.IntN(16); s.fleet.Partition(func(p int) int { return bits >> p & 1 }) }},
		{"join", func() { s.fleet.Partition(nil) }},
		{"crash", target.Crash},
		{"slow", func() { target.SetSlowdown(float64(1 + 20*s.random.IntN(2))) }},
		{"fail", func() { target.SetFailing(s.random.IntN(2) == 0) }},
		{"leave", s.leaveTarget},
		{"kill", func() { s.kill(place); s.replace(place) }},
		{"stop", func() { s.stop(place); s.replace(place) }},
	}
	chosen := steps[s.random.IntN(len(steps))]
	s.trace = append(s.trace, chosen.name)
	chosen.do()
}

// mode returns a way in which the configuration service misbehaves.
func (s *schedule) mode() standin.Mode {
	modes := []standin.Mode{{}, {Down: true}, {CloseConnection: true}, {Stale: true}, {Truncate: true},
		{Override: []byte("[]")}, {Alternate: [][]byte{s.fleet.Document(), []byte("{}")}}}
	return modes[s.random.IntN(len(modes))]
}

// leaveTarget drains one of the first two targets by the list of instances,
// which each instance can read, or by its own signal.
func (s *schedule) leaveTarget() {
	if s.drained == 2 {
		return
	}
	target := s.fleet.Targets()[s.drained]
	s.drained++
	s.leaves(target)
	if s.random.IntN(2) == 0 {
		s.fleet.ListLeaving(target)
		return
	}
	target.Drain()
}

// heal ends all faults and waits for the newest configuration everywhere.
func (s *schedule) heal() {
	s.fleet.Configuration.SetMode(standin.Mode{})
	for place := range scheduleInstances {
		s.fleet.SetConfigurationBlocked(place, false)
	}
	s.fleet.Partition(nil)
	for _, target := range s.fleet.Targets() {
		target.SetSlowdown(1)
		target.SetFailing(false)
	}
	s.serving(s.places(all)...)
	version := s.fleet.Edit(reword)
	s.expect(version, time.Now(), s.places(all))
	s.inForce(s.places(all), version)
	if s.drained > 0 {
		s.pastLeaving()
	}
	s.moreAnswers(100)
}
