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
	// Duration is the length of the load. From 1 s to 10 min.
	Duration time.Duration
	// Seed decides arrivals, service times and bodies.
	Seed uint64
	// Progress receives a sentence for each step of the run. Default none.
	Progress func(at time.Duration, text string)
	// Alter changes the evidence before it is judged. It is for tests.
	Alter func(*checker.Evidence)
}

// Validate returns an error for values out of range.
func (o *Options) Validate() error {
	if o.Duration < MinDuration || o.Duration > MaxDuration {
		return errors.Errorf("a length of %v is outside %v to %v", o.Duration, MinDuration, MaxDuration)
	}
	return nil
}
