package bench

import (
	"github.com/dogwoodroute/dogwoodroute/internal/harness"
	"github.com/dogwoodroute/dogwoodroute/internal/replay"
	"github.com/dogwoodroute/dogwoodroute/internal/standin"
	"github.com/dogwoodroute/dogwoodroute/tables"
)

// replaceStopped returns a step that stops an instance as planned and replaces
// it, in the background.
func replaceStopped(index int) func(*harness.Run) error {
	return func(r *harness.Run) error {
		r.Background(func() error {
			if err := r.Stop(index); err != nil {
				return err
			}
			return r.Replace(index)
		})
		return nil
	}
}

func restartInstances(*replay.Workload) []harness.Step {
	return []harness.Step{
		{At: 0.15, Text: "instance i02 stops as planned and is replaced", Do: replaceStopped(2)},
		{At: 0.3, Text: "instance i09 stops as planned and is replaced", Do: replaceStopped(9)},
		{At: 0.5, Text: "instance i05 crashes", Do: func(r *harness.Run) error { r.Kill(5); return nil }},
		{At: 0.6, Text: "instance i05 is replaced", Do: func(r *harness.Run) error { return r.Replace(5) }},
	}
}

// configurationServiceDown publishes a new version of the tables before the
// outage, so that the instance that starts during it could get an outdated one.
func configurationServiceDown(*replay.Workload) []harness.Step {
	mode := func(m standin.Mode) func(*harness.Run) error {
		return func(r *harness.Run) error {
			r.Fleet.Configuration.SetMode(m)
			return nil
		}
	}
	return []harness.Step{
		{At: 0.1, Text: "an operator publishes a new version", Do: publish},
		{At: 0.25, Text: "the configuration service goes down", Do: mode(standin.Mode{Down: true})},
		{At: 0.3, Text: "instance i04 stops as planned and is replaced", Do: replaceStopped(4)},
		{At: 0.75, Text: "the configuration service is back", Do: mode(standin.Mode{})},
		{At: 0.8, Text: "an operator publishes a new version", Do: publish},
	}
}

// publish publishes the tables unchanged under a new version.
func publish(r *harness.Run) error {
	r.Edit(func(*tables.Document) {})
	return nil
}
