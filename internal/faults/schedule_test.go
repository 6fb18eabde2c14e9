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

// Guards against failures that need several faults at once or the same fault twice. To
// repeat one schedule, use -faults.schedules 1 -faults.seed N.
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

// schedule is a scenario with a random sequence of faults.
type schedule struct {
	*scenario
	random  *rand.Rand
	drained int
	trace   []string
}

// runSchedule injects the faults of a seed, heals them and verifies the invariants.
func runSchedule(t *testing.T, seed uint64) {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 0)),
		scenario: newScenario(t, scenarioOptions{instances: scheduleInstances, targets: scheduleTargets, domains: []string{"a", "b"}})}
	t.Cleanup(func() { t.Logf("seed %d: %v", seed, s.trace) })
	s.startCallers(12, randomFault)
	for range scheduleSteps {
		s.step()
		s.waitForResponses(20 + s.random.IntN(100))
	}
	s.heal()
	s.verify()
}

// step starts or ends one random fault.
func (s *schedule) step() {
	index, target := s.random.IntN(scheduleInstances), s.fleet.Targets()[s.random.IntN(scheduleTargets)]
	steps := []struct {
		name string
		do   func()
	}{
		{"edit", func() { s.fleet.Edit(changeDeadline) }},
		{"service", func() { s.fleet.Configuration.SetMode(s.mode()) }},
		{"blind", func() { s.fleet.SetConfigurationBlocked(index, s.random.IntN(2) == 0) }},
		{"partition", func() { bits := s.random.IntN(16); s.fleet.Partition(func(p int) int { return bits >> p & 1 }) }},
		{"join", func() { s.fleet.Partition(nil) }},
		{"crash", target.Crash},
		{"slow", func() { target.SetSlowdown(float64(1 + 20*s.random.IntN(2))) }},
		{"fail", func() { target.SetFailing(s.random.IntN(2) == 0) }},
		{"leave", s.drainTarget},
		{"kill", func() { s.kill(index); s.replace(index) }},
		{"stop", func() { s.stop(index); s.replace(index) }},
	}
	chosen := steps[s.random.IntN(len(steps))]
	s.trace = append(s.trace, chosen.name)
	chosen.do()
}

// mode returns a random fault of the configuration service, or none.
func (s *schedule) mode() standin.Mode {
	modes := []standin.Mode{{}, {Down: true}, {CloseConnection: true}, {Stale: true}, {Truncate: true},
		{Override: []byte("[]")}, {Alternate: [][]byte{s.fleet.Document(), []byte("{}")}}}
	return modes[s.random.IntN(len(modes))]
}

// drainTarget drains the next one of the first two targets, either through the list of
// instances, which each instance can read, or through the target's own report.
func (s *schedule) drainTarget() {
	if s.drained == 2 {
		return
	}
	target := s.fleet.Targets()[s.drained]
	s.drained++
	s.recordLeaving(target)
	if s.random.IntN(2) == 0 {
		s.fleet.ListLeaving(target)
		return
	}
	target.Drain()
}

// heal ends all faults and waits until all instances have the newest configuration in
// force.
func (s *schedule) heal() {
	s.fleet.Configuration.SetMode(standin.Mode{})
	for index := range scheduleInstances {
		s.fleet.SetConfigurationBlocked(index, false)
	}
	s.fleet.Partition(nil)
	for _, target := range s.fleet.Targets() {
		target.SetSlowdown(1)
		target.SetFailing(false)
	}
	s.waitServing(s.instancesAt(all)...)
	version := s.fleet.Edit(changeDeadline)
	s.expectEdit(version, time.Now(), s.instancesAt(all))
	s.waitInForce(s.instancesAt(all), version)
	if s.drained > 0 {
		s.waitPastLeavingBound()
	}
	s.waitForResponses(100)
}
