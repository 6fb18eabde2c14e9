package node

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changed settings that have no effect without a restart and are not
// reported, and against reports of those that were applied.
func TestFieldsThatNeedARestart(t *testing.T) {
	is := is.New(t)
	s := Settings{ID: "n", FailureDomains: []string{"a", "b"}, Seeds: []string{"10.0.0.1:80"}}
	applied := s
	applied.Seeds, applied.MemoryBytes, applied.StoreAddress = nil, 1, "10.0.0.2:80"
	applied.Bounds = Bounds{RetryRatio: 1, RetryAllowance: 1, ProbesPerTarget: 1, ShutdownTimeout: 1, ResolveValidity: 1}
	is.Equal(len(s.fixedFields(&applied)), 0)
	changed := s
	changed.FailureDomains, changed.Addresses.Peers = []string{"a", "b", "c"}, "10.0.0.3:80"
	is.Equal(s.fixedFields(&changed), []string{"FailureDomains", "Addresses"})
}
