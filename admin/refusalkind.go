package admin

import "github.com/dogwoodroute/dogwoodroute/refusal"

// RefusalKind counts refusals of one kind.
type RefusalKind struct {
	Kind refusal.Kind `json:"kind"`
	// By is "person" if an operator's setting demands the refusal, else "program".
	By    refusal.By `json:"by"`
	Count uint64     `json:"count"`
}
