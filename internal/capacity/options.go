package capacity

import "time"

// DefaultDuration is the time of a run unless Options say otherwise.
const DefaultDuration = 80 * time.Second

// Options configure Run.
type Options struct {
	// Duration bounds the run. An experiment that has started ends its present step.
	// Default 80 s.
	Duration time.Duration
	// Targets and Instances are the sizes. Default 20 to 560 and 5 to 40.
	Targets, Instances []int
	// Progress is told what is measured next. Default nobody.
	Progress func(string)
}

func (o *Options) setDefaults() {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if len(o.Targets) == 0 {
		o.Targets = []int{20, 40, 80, 160, 320, 560}
	}
	if len(o.Instances) == 0 {
		o.Instances = []int{5, 10, 20, 40}
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
}
