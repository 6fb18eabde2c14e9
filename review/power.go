package main

import (
	"syscall"
	"time"
)

// losePower lets all machines lose power at once. Those of rest start again half a second
// later, with the settings of before. The three that the seeds name stay down; three seconds
// later the settings files of the others name running machines as seeds.
func (s *scene) losePower(rest []*machine) {
	s.rec.note("all machines lose power")
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		<-m.done
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range rest {
		m.start()
	}
	s.rec.note("%d machines start again with the seeds of before; the three that these name stay down", len(rest))
	time.Sleep(3 * time.Second) // seedLagS
	var seeds []string
	for _, m := range rest[:3] {
		seeds = append(seeds, m.control())
	}
	for _, m := range rest {
		m.seeds = seeds
		m.writeSettings()
		m.signal(syscall.SIGHUP)
	}
	s.rec.note("the settings files name three running machines as seeds from now on, SIGHUP sent")
}
