package harness

import (
	"slices"
	"time"

	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Evidence returns the records of a finished run for package checker.
func (r *Run) Evidence() *checker.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &checker.Evidence{Leaving: r.leaving, PlannedStops: r.plannedStops, AbortedRequests: r.abortedRequests, EndedAt: r.endedAt,
		Versions: r.versions(), Edits: r.requiredEdits(), Budgets: r.budgets()}
	for i := range r.Calls {
		e.Calls = append(e.Calls, r.Calls[i].Call)
	}
	for _, target := range r.Fleet.Targets() {
		for _, run := range target.RecordedRuns() {
			e.Runs = append(e.Runs, checker.Run{Target: target.Name, RequestID: run.RequestID, Start: run.Start})
		}
	}
	return e
}

// versions returns the configurations that each incarnation put in force, from its
// time line.
func (r *Run) versions() []checker.Version {
	var versions []checker.Version
	for _, m := range r.members {
		for _, event := range m.Timeline().Select(timeline.Filter{StateOnly: true}) {
			if event.Kind == timeline.ConfigurationInForce {
				versions = append(versions, checker.Version{Instance: event.Instance, Incarnation: event.Incarnation,
					Version: event.Version, At: event.Time})
			}
		}
	}
	return versions
}

// requiredEdits returns the edits, each with the instances that ran from the edit until
// checker.ConfigurationBound after it.
func (r *Run) requiredEdits() []checker.Edit {
	edits := slices.Clone(r.edits)
	for i := range edits {
		for _, m := range r.members {
			ranOn := m.until.IsZero() || m.until.After(edits[i].At.Add(checker.ConfigurationBound))
			if ranOn && !m.from.After(edits[i].At) {
				edits[i].Instances = append(edits[i].Instances, m.ID())
			}
		}
	}
	return edits
}

// budgets returns, for each pool, the number of probes and the figures that determine
// its allowance.
func (r *Run) budgets() []checker.Budget {
	var budgets []checker.Budget
	for _, pool := range r.plan.Fleet.Pools {
		b := checker.Budget{Pool: pool.Name, Targets: pool.Targets, Elapsed: r.Elapsed().Round(time.Millisecond),
			PerRequest: pool.Measure.PerRequest(), PerTargetPerSecond: pool.Measure.PerTargetPerSecond(),
			IdlePerTargetPerSecond: pool.Measure.IdlePerTargetPerSecond()}
		for _, target := range r.Fleet.Targets() {
			if target.Pool == pool.Name {
				b.Probes += target.Probes()
			}
		}
		for i := range r.Calls {
			if r.Calls[i].Pool == pool.Name {
				b.Requests++
			}
		}
		budgets = append(budgets, b)
	}
	return budgets
}
