package demo

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
)

// Bounds and default of Options.Duration.
const (
	DefaultDuration = 12 * time.Second
	MinDuration     = time.Second
	MaxDuration     = 10 * time.Minute
)

// Options configure Run.
type Options struct {
	// Duration is the time for which load is applied, from MinDuration to MaxDuration.
	Duration time.Duration
	// Seed is the seed of arrivals, service times and bodies.
	Seed uint64
	// Progress is called with the time since the first arrival and a description of
	// each step. Optional.
	Progress func(at time.Duration, text string)
	// Alter changes the evidence before the invariants are checked. Only for tests.
	Alter func(*checker.Evidence)
}

// Validate returns an error if Duration is out of range.
func (o *Options) Validate() error {
	if o.Duration < MinDuration || o.Duration > MaxDuration {
		return errors.Errorf("a length of %v is outside %v to %v", o.Duration, MinDuration, MaxDuration)
	}
	return nil
}
