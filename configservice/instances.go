package configservice

import (
	"encoding/json"
	"net/netip"

	"github.com/go-faster/errors"
)

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// Instance states.
const (
	InstanceLive    InstanceState = "live"    // also if the field is missing
	InstanceLeaving InstanceState = "leaving" // about to be removed
)

// Instance is one entry of the list of instances.
type Instance struct {
	ID            string        `json:"id"`
	FailureDomain string        `json:"failure_domain"`
	CallerAddress string        `json:"caller_address"`
	PeerAddress   string        `json:"peer_address"`
	AdminAddress  string        `json:"admin_address"`
	State         InstanceState `json:"state"`
}

// List is the list of instances that the service publishes. It may be outdated.
type List struct {
	Instances []Instance `json:"instances"`
	// LeavingTargets holds the addresses of targets that are about to be removed.
	LeavingTargets []string `json:"leaving_targets"`
}

// Bounds of a list. They are far above the needs of a fleet of 20 instances with
// 560 targets and limit the memory that a faulty response can take.
const (
	MaxInstances      = 1024
	MaxLeavingTargets = 4096
	maxFieldBytes     = 256
)

// ParseList decodes and validates a list. It rejects the whole list if one entry
// is invalid, because an instance that is missing from a list counts as removed.
func ParseList(data []byte) (*List, error) {
	if len(data) > MaxValueBytes {
		return nil, errors.Errorf("list of instances has %d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	list := new(List)
	if err := json.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "decode list of instances")
	}
	if list.Instances == nil {
		return nil, errors.New("list of instances: field instances is missing")
	}
	if len(list.Instances) > MaxInstances || len(list.LeavingTargets) > MaxLeavingTargets {
		return nil, errors.Errorf("list of instances: %d instances and %d leaving targets, at most %d and %d are allowed",
			len(list.Instances), len(list.LeavingTargets), MaxInstances, MaxLeavingTargets)
	}
	seen := make(map[string]bool, len(list.Instances))
	for n := range list.Instances {
		if err := list.Instances[n].check(seen); err != nil {
			return nil, errors.Wrapf(err, "list of instances: entry %d", n)
		}
	}
	for n, address := range list.LeavingTargets {
		if len(address) > maxFieldBytes {
			return nil, errors.Errorf("list of instances: leaving target %d has %d bytes", n, len(address))
		}
	}
	return list, nil
}

// check validates an entry and sets a missing state to InstanceLive. seen holds
// the identifiers of the entries before, to detect duplicates.
func (i *Instance) check(seen map[string]bool) error {
	if i.ID == "" || i.CallerAddress == "" || i.PeerAddress == "" {
		return errors.New("id, caller_address or peer_address is missing")
	}
	for _, field := range []string{i.ID, i.FailureDomain, i.CallerAddress, i.PeerAddress, i.AdminAddress} {
		if len(field) > maxFieldBytes {
			return errors.Errorf("a field has %d bytes, at most %d are allowed", len(field), maxFieldBytes)
		}
	}
	if _, err := netip.ParseAddrPort(i.PeerAddress); err != nil {
		return errors.Wrap(err, "peer_address")
	}
	if seen[i.ID] {
		return errors.Errorf("id %q appears twice", i.ID)
	}
	seen[i.ID] = true
	switch i.State {
	case "":
		i.State = InstanceLive
	case InstanceLive, InstanceLeaving:
	default:
		return errors.Errorf("state %q is unknown", i.State)
	}
	return nil
}
