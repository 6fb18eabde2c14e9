package wire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// TargetState is the state that a target reports in HeaderTargetState.
type TargetState string

// Target states. An absent or unknown state is treated as serving.
const (
	TargetServing  TargetState = "serving"
	TargetDraining TargetState = "draining"
	TargetCold     TargetState = "cold"
)

// maxLoadValue is the largest number that is accepted in a load report. Larger
// values cannot be real.
const maxLoadValue = 1 << 20

// Load is a target's load report: counts of requests when the target wrote it.
type Load struct {
	InFlight int // running and queued requests
	Slots    int // maximum number of requests that run at the same time
	Queued   int // requests waiting for a slot
	Long     int // running and queued requests of class long
}

// String returns the report encoded as the value of HeaderTargetLoad.
func (l Load) String() string {
	return fmt.Sprintf("inflight=%d;slots=%d;queued=%d;long=%d", l.InFlight, l.Slots, l.Queued, l.Long)
}

// ParseLoad decodes the value of HeaderTargetLoad. Unknown keys are ignored and
// missing ones are 0, but "inflight" is required. Numbers must be from 0 to
// 1048576.
func ParseLoad(text string) (Load, error) {
	var load Load
	found := false
	for part := range strings.SplitSeq(text, ";") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		field := load.field(key)
		if field == nil {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxLoadValue {
			return Load{}, errors.Errorf("load report: %s %q is not a number from 0 to %d", key, value, maxLoadValue)
		}
		*field = n
		found = found || key == "inflight"
	}
	if !found {
		return Load{}, errors.Errorf("load report %q has no inflight", text)
	}
	return load, nil
}

func (l *Load) field(key string) *int {
	switch key {
	case "inflight":
		return &l.InFlight
	case "slots":
		return &l.Slots
	case "queued":
		return &l.Queued
	case "long":
		return &l.Long
	default:
		return nil
	}
}
