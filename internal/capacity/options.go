package capacity

import "time"

// DefaultDuration is the default of Options.Duration.
const DefaultDuration = 80 * time.Second

// Options configure Run.
type Options struct {
	// Duration limits the run. The step that runs at that time is completed
	// first. Default 80 s.
	Duration time.Duration
	// Targets and Instances are the numbers of targets and instances to measure
	// with. Default 20 to 560 targets and 5 to 40 instances.
	Targets, Instances []int
	// Progress is called with what is measured next. Default: no calls.
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
