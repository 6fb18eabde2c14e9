package tables

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/dogwoodroute/dogwoodroute/internal/jsonc"
)

// maxProblems limits the number of problems that are reported for one document.
const maxProblems = 100

// validator collects the problems of one document.
type validator struct {
	locator  *jsonc.Locator
	problems []*jsonc.PositionError
}

func (v *validator) failf(field, format string, args ...any) {
	if len(v.problems) < maxProblems {
		v.problems = append(v.problems, v.locator.Errorf(field, format, args...))
	}
}

func (v *validator) document(d *Document) {
	if d.Version == 0 {
		v.failf("version", "version must be at least 1")
	}
	pools := make(map[string]bool, len(d.Pools))
	for i := range d.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		v.name(field+".name", d.Pools[i].Name, pools)
		v.pool(field, &d.Pools[i])
	}
	routes := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		v.name(field+".name", d.Routes[i].Name, routes)
		v.route(field, &d.Routes[i])
		if !pools[d.Routes[i].Pool] {
			v.failf(field+".pool", "pool %q does not exist", d.Routes[i].Pool)
		}
	}
}

// name checks that a name is valid and not in seen, and adds it to seen.
func (v *validator) name(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.failf(field, "name is missing")
	case len(name) > MaxNameBytes:
		v.failf(field, "name has %d bytes, at most %d are allowed", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		v.failf(field, "name %q contains spaces or control characters", name)
	case seen[name]:
		v.failf(field, "name %q appears twice", name)
	}
	seen[name] = true
}

func (v *validator) route(field string, r *Route) {
	if !strings.HasPrefix(r.Match.PathPrefix, "/") {
		v.failf(field+".match.path_prefix", "path prefix %q must start with \"/\"", r.Match.PathPrefix)
	}
	if strings.HasPrefix(r.Match.PathPrefix, "/.dogwoodroute") {
		v.failf(field+".match.path_prefix", "paths below /.dogwoodroute are reserved")
	}
	for i, method := range r.Match.Methods {
		if method == "" || method != strings.ToUpper(method) {
			v.failf(fmt.Sprintf("%s.match.methods[%d]", field, i), "method %q must be in upper case", method)
		}
	}
	if r.Class != ClassShort && r.Class != ClassLong {
		v.failf(field+".class", "class %q must be %q or %q", r.Class, ClassShort, ClassLong)
	}
	if r.Priority != PriorityHigh && r.Priority != PriorityNormal && r.Priority != PriorityLow {
		v.failf(field+".priority", "priority %q must be %q, %q or %q", r.Priority, PriorityHigh, PriorityNormal, PriorityLow)
	}
	if r.DeadlineMillis < MinDeadline.Milliseconds() || r.DeadlineMillis > MaxDeadline.Milliseconds() {
		v.failf(field+".deadline_ms", "deadline of %d ms is outside %d to %d ms",
			r.DeadlineMillis, MinDeadline.Milliseconds(), MaxDeadline.Milliseconds())
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > MaxAttemptsLimit {
		v.failf(field+".max_attempts", "%d attempts are outside 1 to %d", r.MaxAttempts, MaxAttemptsLimit)
	}
	if r.Hedge && !r.Idempotent {
		v.failf(field+".hedge", "hedging needs an idempotent route")
	}
	v.reason(field+".closed", r.Closed)
	if r.Limit != nil {
		v.limit(field+".limit", r.Limit)
	}
}

func (v *validator) limit(field string, l *Limit) {
	if !(l.PerSecond > 0) {
		v.failf(field+".per_second", "rate must be above 0; set \"closed\" to refuse every request")
	}
	if l.Reason == "" {
		v.failf(field+".reason", "reason is missing")
	}
	v.reason(field+".reason", l.Reason)
}

func (v *validator) reason(field, reason string) {
	if len(reason) > MaxReasonBytes {
		v.failf(field, "reason has %d bytes, at most %d are allowed", len(reason), MaxReasonBytes)
	}
	if strings.ContainsFunc(reason, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		v.failf(field, "reason contains control characters")
	}
}

func (v *validator) pool(field string, p *Pool) {
	if len(p.Targets) == 0 {
		v.failf(field+".targets", "pool %q has no targets", p.Name)
	}
	names := make(map[string]bool, len(p.Targets))
	addresses := make(map[string]bool, len(p.Targets))
	for i := range p.Targets {
		target := fmt.Sprintf("%s.targets[%d]", field, i)
		v.name(target+".name", p.Targets[i].Name, names)
		v.target(target, &p.Targets[i])
		if addresses[p.Targets[i].Address] {
			v.failf(target+".address", "address %q appears twice", p.Targets[i].Address)
		}
		addresses[p.Targets[i].Address] = true
	}
	v.reason(field+".closed", p.Closed)
	v.rate(field+".measure.probes_per_request", p.Measure.PerRequest(), MaxProbesPerRequest)
	v.rate(field+".measure.idle_probes_per_target_per_second", p.Measure.IdlePerTargetPerSecond(), MaxIdleProbesPerSecond)
	v.rate(field+".measure.probes_per_target_per_second", p.Measure.PerTargetPerSecond(), MaxProbesPerTargetPerSecond)
}

func (v *validator) rate(field string, value, maximum float64) {
	if !(value >= 0 && value <= maximum) {
		v.failf(field, "%g is outside 0 to %g", value, maximum)
	}
}

func (v *validator) target(field string, t *Target) {
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		v.failf(field+".address", "address %q is not an IP address with a port", t.Address)
	}
	if t.FailureDomain == "" {
		v.failf(field+".failure_domain", "failure domain is missing")
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		v.failf(field+".slots", "%d slots are outside 1 to %d", t.Slots, MaxSlots)
	}
	if t.Connections < 1 || t.Connections > MaxConnections {
		v.failf(field+".connections", "%d connections are outside 1 to %d", t.Connections, MaxConnections)
	}
	if t.State != StateServing && t.State != StateDraining {
		v.failf(field+".state", "state %q must be %q or %q", t.State, StateServing, StateDraining)
	}
}
