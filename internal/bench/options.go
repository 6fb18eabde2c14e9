package bench

import (
	"time"

	"github.com/go-faster/errors"
)

// Limits of Options.Duration.
const (
	MinDuration = time.Second
	MaxDuration = 10 * time.Minute
)

// Options configure Run and Overhead.
type Options struct {
	// Duration is how long requests arrive. Default: 12 s, 16 s for the scenario
	// crest, 10 s for Overhead. The times of the load peak of crest do not change
	// with it.
	Duration time.Duration
	// Seed determines arrivals, service times and bodies.
	Seed uint64
	// Progress, if not nil, is called with a sentence at each step. at is the time
	// since the first arrival while requests are sent, otherwise since the start.
	Progress func(at time.Duration, text string)
}

// Validate returns an error if a value is out of range.
func (o *Options) Validate() error {
	if o.Duration != 0 && (o.Duration < MinDuration || o.Duration > MaxDuration) {
		return errors.Errorf("duration %v is outside %v to %v", o.Duration, MinDuration, MaxDuration)
	}
	return nil
}
