package admin

import (
	"cmp"
	"slices"

	"github.com/dogwoodroute/dogwoodroute/refusal"
)

// Refusals counts refused requests since the start of the instance.
type Refusals struct {
	// Person counts refusals that an operator's setting in the tables demands,
	// Program all others.
	Person  uint64        `json:"person"`
	Program uint64        `json:"program"`
	Kinds   []RefusalKind `json:"kinds"`
}

// Total returns the number of all refusals.
func (r Refusals) Total() uint64 { return r.Person + r.Program }

// NewRefusals returns the totals of the given counts, with Kinds sorted by kind.
func NewRefusals(counts map[refusal.Kind]uint64) Refusals {
	var r Refusals
	for kind, count := range counts {
		if kind.By() == refusal.ByPerson {
			r.Person += count
		} else {
			r.Program += count
		}
		r.Kinds = append(r.Kinds, RefusalKind{Kind: kind, By: kind.By(), Count: count})
	}
	slices.SortFunc(r.Kinds, func(a, b RefusalKind) int { return cmp.Compare(a.Kind, b.Kind) })
	return r
}
