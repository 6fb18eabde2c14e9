package node

import (
	"net/netip"
	"reflect"

	"github.com/go-faster/errors"

	"github.com/dogwoodroute/dogwoodroute/gateway"
	"github.com/dogwoodroute/dogwoodroute/placement"
)

// Reload applies settings that have changed while the process runs: the seeds, the retry
// budget, the limits of probes, of cold targets and of memory, the validity of lists for callers, and the
// shutdown timeout of the next stop. The others need a restart; their names are logged.
func (n *Node) Reload(s *Settings) {
	seeds, err := s.seeds()
	if err != nil {
		n.options.Log.Warn("settings invalid; the previous ones stay in use", "error", err.Error())
		return
	}
	fixed := n.settings.Load().fixedFields(s)
	n.settings.Store(s)
	n.fleet.SetSeeds(seeds)
	n.gateway.SetRetryBudget(s.retryBudget())
	n.gateway.SetProbesPerTarget(s.Bounds.ProbesPerTarget)
	n.gateway.SetWarmup(s.warmupBounds())
	n.gateway.SetMemoryBytes(s.exchangeBytes())
	n.gateway.SetCallerSendBuffer(s.sendBufferBytes())
	for _, server := range n.servers {
		server.setMemory(s)
	}
	n.options.Log.Info("settings reloaded", "retry_ratio", s.Bounds.RetryRatio, "retry_allowance", s.Bounds.RetryAllowance,
		"seeds", len(seeds), "probes_per_target", s.Bounds.ProbesPerTarget, "memory_bytes", s.MemoryBytes)
	if len(fixed) > 0 {
		n.options.Log.Warn("changed settings need a restart", "fields", fixed)
	}
}

// fixedFields returns the names of the fields that differ from those of other settings and
// are used at the start of the process only.
func (s *Settings) fixedFields(other *Settings) (names []string) {
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"ID", s.ID, other.ID}, {"FailureDomain", s.FailureDomain, other.FailureDomain},
		{"FailureDomains", s.FailureDomains, other.FailureDomains}, {"DomainRegions", s.DomainRegions, other.DomainRegions}, {"Capacity", s.Capacity, other.Capacity},
		{"Addresses", s.Addresses, other.Addresses},
		{"Bounds.RetryWindow", s.Bounds.RetryWindow, other.Bounds.RetryWindow},
	} {
		if !reflect.DeepEqual(f.old, f.new) {
			names = append(names, f.name)
		}
	}
	return names
}

// seeds returns the IP addresses of Seeds.
func (s *Settings) seeds() ([]netip.Addr, error) {
	list := make([]netip.Addr, 0, len(s.Seeds))
	for _, text := range s.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "parse seed address %q", text)
		}
		list = append(list, seed.Addr())
	}
	return list, nil
}

func (s *Settings) warmupBounds() placement.WarmupBounds {
	return placement.WarmupBounds{Overage: s.Bounds.WarmupOverage, Allowance: s.Bounds.WarmupAllowance}
}

func (s *Settings) retryBudget() gateway.RetryBudget {
	return gateway.RetryBudget{Ratio: s.Bounds.RetryRatio, Window: s.Bounds.RetryWindow, Allowance: s.Bounds.RetryAllowance,
		NewFleet: s.FirstStart}
}
