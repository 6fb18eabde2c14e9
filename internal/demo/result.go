package demo

import (
	"github.com/dogwoodroute/dogwoodroute/internal/checker"
	"github.com/dogwoodroute/dogwoodroute/internal/load"
	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Result contains the measurements of a demo run.
type Result struct {
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	Targets   int     `json:"targets"`
	Instances int     `json:"instances"`
	// Kinds contains an entry for each kind of request, in the order of load.Kinds.
	Kinds []KindResult `json:"kinds"`
	// Refusals are ordered by count, highest first.
	Refusals []RefusalResult `json:"refusals"`
	// Runs is the number of executions at targets, including retries and hedged
	// requests.
	Runs     int               `json:"runs"`
	Probes   int64             `json:"probes"`
	Verdicts []checker.Verdict `json:"verdicts"`
}

// KindResult contains the outcomes of one kind of request.
type KindResult struct {
	Kind load.Kind `json:"kind"`
	load.Summary
}

// RefusalResult is the number of refusals of a kind.
type RefusalResult struct {
	By    refusal.By   `json:"by"`
	Kind  refusal.Kind `json:"kind"`
	Count int          `json:"count"`
	// Reason is the reason of the first refusal of this kind.
	Reason string `json:"reason"`
}
