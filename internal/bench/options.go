package bench

import (
	"time"

	"github.com/go-faster/errors"
)

// Bounds of Options.For.
const (
	MinDuration = time.Second
	MaxDuration = 10 * time.Minute
)

// Options configure Run and Overhead.
type Options struct {
	// Duration is the length of the arrivals. Zero: the scenario's own, 12 or 16 s.
	// The shape of crest does not change with it.
	Duration time.Duration
	// Seed decides arrivals, service times and bodies.
	Seed uint64
	// Progress receives a sentence for each step. Default none.
	Progress func(at time.Duration, text string)
}

// Validate returns an error for values out of range.
func (o *Options) Validate() error {
	if o.Duration != 0 && (o.Duration < MinDuration || o.Duration > MaxDuration) {
		return errors.Errorf("a length of %v is outside %v to %v", o.Duration, MinDuration, MaxDuration)
	}
	return nil
}
